#include "amqp/content_header.h"

#include "amqp/reader.h"
#include "amqp/writer.h"

namespace lotusyard::amqp {
namespace {

constexpr std::uint16_t kClassBasic = 60;

// Which properties follow, in the order of the bits from the highest on.
enum PropertyFlag : std::uint16_t {
  content_type_flag = 1 << 15,
  content_encoding_flag = 1 << 14,
  headers_flag = 1 << 13,
  delivery_mode_flag = 1 << 12,
  priority_flag = 1 << 11,
  correlation_id_flag = 1 << 10,
  reply_to_flag = 1 << 9,
  expiration_flag = 1 << 8,
  message_id_flag = 1 << 7,
  timestamp_flag = 1 << 6,
  type_flag = 1 << 5,
  user_id_flag = 1 << 4,
  app_id_flag = 1 << 3,
  cluster_id_flag = 1 << 2,  // deprecated by the specification
  continuation_flag = 1      // more flags follow; class basic has none
};

// Collects the properties that are set, and their flags.
class PropertyWriter {
 public:
  void text(PropertyFlag flag, const std::string& value) {
    if (value.empty())
      return;
    set(flag);
    values_.short_text(value);
  }
  void octet(PropertyFlag flag, std::uint8_t value) {
    if (value == 0)
      return;
    set(flag);
    values_.u8(value);
  }
  void timestamp(PropertyFlag flag, const std::optional<std::uint64_t>& value) {
    if (!value)
      return;
    set(flag);
    values_.u64(*value);
  }
  void table(PropertyFlag flag, const Table& value) {
    if (value.empty())
      return;
    set(flag);
    values_.table(value);
  }
  std::uint16_t flags() const { return flags_; }
  const std::string& values() const { return values_.bytes(); }

 private:
  void set(PropertyFlag flag) { flags_ = static_cast<std::uint16_t>(flags_ | flag); }

  std::uint16_t flags_ = 0;
  Writer values_;
};

// Reads the properties whose flags are set; the others are left empty.
class PropertyReader {
 public:
  PropertyReader(Reader& reader, std::uint16_t flags) : reader_(reader), flags_(flags) {}
  bool has(PropertyFlag flag) const { return (flags_ & flag) != 0; }
  std::string text(PropertyFlag flag) { return has(flag) ? reader_.short_text() : std::string(); }
  std::uint8_t octet(PropertyFlag flag) { return has(flag) ? reader_.u8() : std::uint8_t{0}; }
  Table table(PropertyFlag flag) { return has(flag) ? reader_.table() : Table(); }
  std::optional<std::uint64_t> timestamp(PropertyFlag flag) {
    return has(flag) ? std::optional<std::uint64_t>(reader_.u64()) : std::nullopt;
  }

 private:
  Reader& reader_;
  std::uint16_t flags_;
};

Properties read_properties(PropertyReader& reader) {
  Properties out;
  out.content_type = reader.text(content_type_flag);
  out.content_encoding = reader.text(content_encoding_flag);
  out.headers = reader.table(headers_flag);
  out.delivery_mode = reader.octet(delivery_mode_flag);
  out.priority = reader.octet(priority_flag);
  out.correlation_id = reader.text(correlation_id_flag);
  out.reply_to = reader.text(reply_to_flag);
  out.expiration = reader.text(expiration_flag);
  out.message_id = reader.text(message_id_flag);
  out.timestamp = reader.timestamp(timestamp_flag);
  out.type = reader.text(type_flag);
  out.user_id = reader.text(user_id_flag);
  out.app_id = reader.text(app_id_flag);
  reader.text(cluster_id_flag);
  return out;
}

}  // namespace

std::string content_header(std::uint64_t body_size, const Properties& properties) {
  PropertyWriter writer;
  writer.text(content_type_flag, properties.content_type);
  writer.text(content_encoding_flag, properties.content_encoding);
  writer.table(headers_flag, properties.headers);
  writer.octet(delivery_mode_flag, properties.delivery_mode);
  writer.octet(priority_flag, properties.priority);
  writer.text(correlation_id_flag, properties.correlation_id);
  writer.text(reply_to_flag, properties.reply_to);
  writer.text(expiration_flag, properties.expiration);
  writer.text(message_id_flag, properties.message_id);
  writer.timestamp(timestamp_flag, properties.timestamp);
  writer.text(type_flag, properties.type);
  writer.text(user_id_flag, properties.user_id);
  writer.text(app_id_flag, properties.app_id);
  constexpr std::uint16_t kWeight = 0;  // unused, must be zero
  Writer header;
  header.u16(kClassBasic).u16(kWeight).u64(body_size).u16(writer.flags());
  return header.bytes() + writer.values();
}

std::optional<std::pair<std::uint64_t, Properties>> read_content_header(std::string_view payload) {
  Reader reader(payload);
  const bool is_basic = reader.u16() == kClassBasic;
  reader.u16();  // the weight
  const std::uint64_t body_size = reader.u64();
  PropertyReader property_reader(reader, reader.u16());
  Properties properties = read_properties(property_reader);
  if (!is_basic || !reader.ok() || property_reader.has(continuation_flag))
    return std::nullopt;
  return std::make_pair(body_size, std::move(properties));
}

}  // namespace lotusyard::amqp
