#include "amqp/wire.h"

#include <algorithm>
#include <cstring>

namespace lotusyard::amqp {
namespace {

constexpr char kFrameEnd = static_cast<char>(0xCE);
constexpr std::size_t kHeadSize = 7;
constexpr int kDeepest = 4;  // nesting of tables; guards the stack
constexpr std::uint16_t kBasic = 60;

enum PropertyBit : std::uint16_t {
  content_type_bit = 1 << 15,
  content_encoding_bit = 1 << 14,
  headers_bit = 1 << 13,
  delivery_mode_bit = 1 << 12,
  priority_bit = 1 << 11,
  correlation_id_bit = 1 << 10,
  reply_to_bit = 1 << 9,
  expiration_bit = 1 << 8,
  message_id_bit = 1 << 7,
  timestamp_bit = 1 << 6,
  type_bit = 1 << 5,
  user_id_bit = 1 << 4,
  app_id_bit = 1 << 3,
  cluster_id_bit = 1 << 2,
  continued_bit = 1
};

bool known(std::uint8_t type) { return type == 1 || type == 2 || type == 3 || type == 8; }

}  // namespace

bool FrameParser::parse(std::string_view bytes, std::vector<Frame>& out) {
  while (!bytes.empty() && !spoilt_) {
    if (!in_payload_) {
      const std::size_t part = std::min(kHeadSize - head_.size(), bytes.size());
      head_.append(bytes.substr(0, part));
      bytes.remove_prefix(part);
      if (head_.size() < kHeadSize)
        break;
      Reader head(head_);
      const std::uint8_t type = head.u8();
      frame_ = Frame{static_cast<FrameType>(type), head.u16(), {}};
      left_ = head.u32();
      spoilt_ = !known(type) || left_ > most_;
      in_payload_ = true;
      head_.clear();
      continue;
    }
    const std::size_t part = std::min(left_, bytes.size());
    frame_.payload.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    left_ -= part;
    if (left_ > 0 || bytes.empty())
      break;
    spoilt_ = bytes.front() != kFrameEnd;
    bytes.remove_prefix(1);
    in_payload_ = false;
    if (!spoilt_)
      out.push_back(std::move(frame_));
  }
  return !spoilt_;
}

std::string frame(FrameType type, std::uint16_t channel, std::string_view payload) {
  Writer head;
  head.u8(static_cast<std::uint8_t>(type)).u16(channel).u32(payload.size());
  std::string out = head.bytes();
  out += payload;
  out += kFrameEnd;
  return out;
}

Writer& Writer::number(std::uint64_t v, int bytes) {
  for (int i = bytes - 1; i >= 0; --i)
    out_ += static_cast<char>(v >> (8 * i) & 0xFF);
  return *this;
}

Writer& Writer::short_text(std::string_view text) {
  text = text.substr(0, 255);
  u8(text.size());
  out_ += text;
  return *this;
}

Writer& Writer::long_text(std::string_view text) {
  u32(text.size());
  out_ += text;
  return *this;
}

Writer& Writer::table(const Table& table) {
  Writer items;
  for (const auto& [name, value] : table) {
    items.short_text(name);
    if (const auto* text = std::get_if<std::string>(&value)) {
      items.u8('S').long_text(*text);
    } else if (const auto* whole = std::get_if<std::int64_t>(&value)) {
      items.u8('l').u64(static_cast<std::uint64_t>(*whole));
    } else if (const auto* flag = std::get_if<bool>(&value)) {
      items.u8('t').u8(*flag ? 1 : 0);
    } else if (const auto* real = std::get_if<double>(&value)) {
      std::uint64_t bits = 0;
      std::memcpy(&bits, real, sizeof bits);
      items.u8('d').u64(bits);
    } else {
      items.u8('V');
    }
  }
  return long_text(items.bytes());
}

std::uint64_t Reader::number(int bytes) {
  std::uint64_t v = 0;
  for (const char c : cut(static_cast<std::size_t>(bytes)))
    v = v << 8 | static_cast<std::uint8_t>(c);
  return v;
}

std::string_view Reader::cut(std::size_t size) {
  if (!ok_ || size > left_.size()) {
    ok_ = false;
    left_ = {};
    return {};
  }
  const std::string_view part = left_.substr(0, size);
  left_.remove_prefix(size);
  return part;
}

Value Reader::value(int depth) {
  const auto whole = [](auto v) { return Value(static_cast<std::int64_t>(v)); };
  switch (u8()) {
    case 't':
      return Value(u8() != 0);
    case 'b':
      return whole(static_cast<std::int8_t>(u8()));
    case 'B':
      return whole(u8());
    case 'U':
    case 's':
      return whole(static_cast<std::int16_t>(u16()));
    case 'u':
      return whole(u16());
    case 'I':
      return whole(static_cast<std::int32_t>(u32()));
    case 'i':
      return whole(u32());
    case 'L':
    case 'l':
      return whole(u64());
    case 'T':
      return u64(), Value();
    case 'f': {
      const std::uint32_t bits = u32();
      float real = 0;
      std::memcpy(&real, &bits, sizeof real);
      return Value(static_cast<double>(real));
    }
    case 'd': {
      const std::uint64_t bits = u64();
      double real = 0;
      std::memcpy(&real, &bits, sizeof real);
      return Value(real);
    }
    case 'D':
      return u8(), u32(), Value();
    case 'S':
      return Value(long_text());
    case 'x':
      return long_text(), Value();
    case 'A':
      return skip_items(cut(u32()), false, depth), Value();
    case 'F':
      return skip_items(cut(u32()), true, depth), Value();
    case 'V':
      return Value();
    default:
      ok_ = false;
      return Value();
  }
}

void Reader::skip_items(std::string_view items, bool named, int depth) {
  Reader inner(items);
  if (depth >= kDeepest)
    inner.ok_ = false;
  while (inner.ok_ && !inner.left_.empty()) {
    if (named)
      inner.short_text();
    inner.value(depth + 1);
  }
  ok_ = ok_ && inner.ok_;
}

Table Reader::table() {
  Reader inner(cut(u32()));
  Table out;
  while (inner.ok_ && !inner.left_.empty()) {
    std::string name = inner.short_text();
    out[std::move(name)] = inner.value(0);
  }
  ok_ = ok_ && inner.ok_;
  return out;
}

std::string content_header(std::uint64_t body_size, const Properties& p) {
  std::uint16_t flags = 0;
  Writer values;
  const auto text = [&](PropertyBit bit, const std::string& value) {
    if (value.empty())
      return;
    flags = static_cast<std::uint16_t>(flags | bit);
    values.short_text(value);
  };
  text(content_type_bit, p.content_type);
  text(content_encoding_bit, p.content_encoding);
  if (!p.headers.empty()) {
    flags |= headers_bit;
    values.table(p.headers);
  }
  if (p.delivery_mode != 0) {
    flags |= delivery_mode_bit;
    values.u8(p.delivery_mode);
  }
  if (p.priority != 0) {
    flags |= priority_bit;
    values.u8(p.priority);
  }
  text(correlation_id_bit, p.correlation_id);
  text(reply_to_bit, p.reply_to);
  text(expiration_bit, p.expiration);
  text(message_id_bit, p.message_id);
  if (p.timestamp) {
    flags |= timestamp_bit;
    values.u64(*p.timestamp);
  }
  text(type_bit, p.type);
  text(user_id_bit, p.user_id);
  text(app_id_bit, p.app_id);
  Writer out;
  out.u16(kBasic).u16(0).u64(body_size).u16(flags);
  return out.bytes() + values.bytes();
}

std::optional<std::pair<std::uint64_t, Properties>> read_content_header(std::string_view payload) {
  Reader in(payload);
  const bool basic = in.u16() == kBasic;
  in.u16();
  const std::uint64_t size = in.u64();
  const std::uint16_t flags = in.u16();
  Properties p;
  if (flags & content_type_bit)
    p.content_type = in.short_text();
  if (flags & content_encoding_bit)
    p.content_encoding = in.short_text();
  if (flags & headers_bit)
    p.headers = in.table();
  if (flags & delivery_mode_bit)
    p.delivery_mode = in.u8();
  if (flags & priority_bit)
    p.priority = in.u8();
  if (flags & correlation_id_bit)
    p.correlation_id = in.short_text();
  if (flags & reply_to_bit)
    p.reply_to = in.short_text();
  if (flags & expiration_bit)
    p.expiration = in.short_text();
  if (flags & message_id_bit)
    p.message_id = in.short_text();
  if (flags & timestamp_bit)
    p.timestamp = in.u64();
  if (flags & type_bit)
    p.type = in.short_text();
  if (flags & user_id_bit)
    p.user_id = in.short_text();
  if (flags & app_id_bit)
    p.app_id = in.short_text();
  if (flags & cluster_id_bit)
    in.short_text();  // deprecated by the specification
  if (!basic || !in.ok() || (flags & continued_bit) != 0)
    return std::nullopt;
  return std::make_pair(size, std::move(p));
}

}  // namespace lotusyard::amqp
