// Serialization of the fields that messages and changes consist of. Integers are big-endian, texts follow
// their length in 32 bits, durations are integers in microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "control/message.h"
#include "raft/bytes.h"

namespace lotusyard::control {

constexpr Millis kMaxWireDuration{1e9};  // a longer one is malformed

// Appends fields to a buffer, which must outlive the writer.
class FieldWriter {
 public:
  explicit FieldWriter(std::string& out) : out_(out) {}

  void u8(unsigned value) { raft::put8(out_, value); }
  void u32(std::uint32_t value) { raft::put32(out_, value); }
  void u64(std::uint64_t value) { raft::put64(out_, value); }
  void text(const std::string& value) { raft::put_bytes(out_, value.data(), value.size()); }
  // Microseconds; a negative duration becomes 0.
  void duration(Millis value);

 private:
  std::string& out_;
};

// Reads fields from the front of a buffer, which must outlive the reader. After a field that is missing or
// out of bounds finished() stays false, so that callers may check once at the end.
class FieldReader {
 public:
  explicit FieldReader(std::string_view input) : reader_(input) {}

  // Every field so far was complete and within its bounds.
  bool sound() const { return within_bounds_ && reader_.sound(); }
  // The same, and nothing is left.
  bool finished() const { return within_bounds_ && reader_.ended(); }
  // To be called for a field whose value is not allowed.
  void reject() { within_bounds_ = false; }

  std::uint8_t u8() { return static_cast<std::uint8_t>(reader_.number(sizeof(std::uint8_t))); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(reader_.number(sizeof(std::uint32_t))); }
  std::uint64_t u64() { return reader_.number(sizeof(std::uint64_t)); }
  std::string text() { return std::string(reader_.bytes()); }
  // A text of at most kMaxNameBytes.
  std::string name();
  // At most kMaxWireDuration.
  Millis duration();

 private:
  raft::Reader reader_;
  bool within_bounds_ = true;
};

}  // namespace lotusyard::control
