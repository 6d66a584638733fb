// Binary serialization of integers and byte strings: big-endian integers, and byte strings prefixed with
// their length in 32 bits.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lotusyard::raft {

// Each function appends to `out`.
inline void put8(std::string& out, unsigned value) { out += static_cast<char>(value & 0xff); }
inline void put32(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    put8(out, value >> shift);
  }
}
inline void put64(std::string& out, std::uint64_t value) {
  put32(out, static_cast<std::uint32_t>(value >> 32));
  put32(out, static_cast<std::uint32_t>(value));
}
inline void put_bytes(std::string& out, const void* data, std::size_t size) {
  put32(out, static_cast<std::uint32_t>(size));
  if (size > 0) {
    out.append(static_cast<const char*>(data), size);
  }
}

// Reads values from the front of a buffer, which must outlive it. After the first read past the end every
// read returns zero or an empty view and sound() stays false, so that callers may check once at the end.
class Reader {
 public:
  explicit Reader(std::string_view input) : remaining_(input) {}
  // No read has gone past the end so far.
  bool sound() const { return sound_; }
  // Everything was read, and nothing was missing.
  bool ended() const { return sound_ && remaining_.empty(); }
  // Reads an unsigned integer of `size` bytes, at most 8.
  std::uint64_t number(std::size_t size) {
    if (!require(size)) {
      return 0;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
      value = value << 8 | static_cast<unsigned char>(remaining_[i]);
    }
    remaining_.remove_prefix(size);
    return value;
  }
  // Reads a byte string; the view points into the input.
  std::string_view bytes() {
    const std::size_t size = number(sizeof(std::uint32_t));
    if (!require(size)) {
      return {};
    }
    const std::string_view value = remaining_.substr(0, size);
    remaining_.remove_prefix(size);
    return value;
  }

 private:
  bool require(std::size_t size) {
    sound_ = sound_ && remaining_.size() >= size;
    return sound_;
  }

  std::string_view remaining_;
  bool sound_ = true;
};

}  // namespace lotusyard::raft
