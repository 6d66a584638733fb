// AMQP 0-9-1 on the wire: frames in whatever pieces they come, and the types that methods are made of.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lotusyard::amqp {

enum class FrameType : std::uint8_t { method = 1, header = 2, body = 3, heartbeat = 8 };

struct Frame {
  FrameType type = FrameType::heartbeat;
  std::uint16_t channel = 0;
  std::string payload;
};

class FrameParser {
 public:
  static constexpr std::size_t overhead = 8;  // header and end mark
  // Takes all bytes; whole frames are added to `out`. False once the stream cannot be understood any more.
  bool parse(std::string_view bytes, std::vector<Frame>& out);
  void limit(std::size_t most_payload) { most_ = most_payload; }

 private:
  std::size_t most_ = 128 * 1024;
  std::string head_;  // until all seven bytes of a header are there
  Frame frame_;
  std::size_t left_ = 0;
  bool in_payload_ = false, spoilt_ = false;
};

std::string frame(FrameType type, std::uint16_t channel, std::string_view payload);

// A field of a table; nested tables, arrays and rarer types are passed over.
using Value = std::variant<std::monostate, bool, std::int64_t, double, std::string>;
using Table = std::map<std::string, Value>;

class Writer {
 public:
  Writer& u8(std::uint64_t v) { return number(v, 1); }
  Writer& u16(std::uint64_t v) { return number(v, 2); }
  Writer& u32(std::uint64_t v) { return number(v, 4); }
  Writer& u64(std::uint64_t v) { return number(v, 8); }
  Writer& short_text(std::string_view text);  // cut to 255 bytes
  Writer& long_text(std::string_view text);
  Writer& table(const Table& table);
  const std::string& bytes() const { return out_; }

 private:
  std::string out_;
  Writer& number(std::uint64_t v, int bytes);
};

// Reads past the end give zeros and spoil it: check ok() before use.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : left_(bytes) {}
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  std::string short_text() { return std::string(cut(u8())); }
  std::string long_text() { return std::string(cut(u32())); }
  Table table();
  bool ok() const { return ok_; }

 private:
  std::string_view left_;
  bool ok_ = true;
  std::uint64_t number(int bytes);
  std::string_view cut(std::size_t size);
  Value value(int depth);
  void skip_items(std::string_view items, bool named, int depth);
};

struct Properties {
  std::string content_type, content_encoding, correlation_id, reply_to, expiration, message_id;
  std::string type, user_id, app_id;
  std::uint8_t delivery_mode = 0, priority = 0;
  std::optional<std::uint64_t> timestamp;  // seconds
  Table headers;
};

std::string content_header(std::uint64_t body_size, const Properties& properties);
// Nothing if it is malformed or not of class basic.
std::optional<std::pair<std::uint64_t, Properties>> read_content_header(std::string_view payload);

}  // namespace lotusyard::amqp
