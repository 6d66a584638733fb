// Numbers and texts as they stand in frames: big-endian, texts behind their length.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lotusyard::raft {

inline void put8(std::string& out, unsigned value) { out += static_cast<char>(value & 0xff); }
inline void put32(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) put8(out, value >> shift);
}
inline void put64(std::string& out, std::uint64_t value) {
  put32(out, static_cast<std::uint32_t>(value >> 32));
  put32(out, static_cast<std::uint32_t>(value));
}
inline void put_bytes(std::string& out, const void* data, std::size_t size) {
  put32(out, static_cast<std::uint32_t>(size));
  if (size > 0) out.append(static_cast<const char*>(data), size);
}

// Reads from the front; once something is missing it is faulty for good.
class Reader {
 public:
  explicit Reader(std::string_view from) : left_(from) {}
  bool sound() const { return sound_; }
  bool ended() const { return sound_ && left_.empty(); }
  std::uint64_t number(std::size_t bytes) {
    if (left_.size() < bytes) sound_ = false;
    if (!sound_) return 0;
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < bytes; ++i) out = out << 8 | static_cast<unsigned char>(left_[i]);
    left_.remove_prefix(bytes);
    return out;
  }
  std::string_view bytes() {
    const std::size_t size = number(4);
    if (left_.size() < size) sound_ = false;
    if (!sound_) return {};
    const std::string_view out = left_.substr(0, size);
    left_.remove_prefix(size);
    return out;
  }

 private:
  std::string_view left_;
  bool sound_ = true;
};

}  // namespace lotusyard::raft
