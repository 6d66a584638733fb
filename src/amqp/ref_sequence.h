// The refs of calls that come over AMQP, whose message ids may be anything.
#pragma once

#include <cstdint>
#include <string>

#include "net/fields.h"

namespace lotusyard::amqp {

// Generates refs that differ from each other, and by more than a byte or two: an answer whose ref is spoilt
// on the way would otherwise be taken for the answer to another open call.
class RefSequence {
 public:
  explicit RefSequence(std::uint64_t seed) : last_(seed) {}

  // 16 hexadecimal digits, as hosts require. Repeats after 2^64 refs.
  std::string next() { return net::hex16(mix(++last_)); }

 private:
  // The finalizer of SplitMix64, which maps the numbers of 64 bits one to one (Steele, Lea and Flood, 2014).
  static constexpr std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
  }

  std::uint64_t last_;
};

}  // namespace lotusyard::amqp
