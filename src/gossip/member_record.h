// What is passed on about one member, and which of two records of it holds. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "lotusyard/policy/policy.h"

namespace lotusyard::gossip {

using policy::Millis;

// In the order in which one outdoes the other where all else is the same.
enum class MemberStatus : std::uint8_t { joining, alive, suspect, dead, left };
const char* name_of(MemberStatus standing);
inline bool is_present(MemberStatus s) { return s < MemberStatus::dead; }

// `life` is kept in the member's store and grows with each start; `round` counts, within a life, how often
// the member has spoken against gossip about itself. Only the member itself makes either grow.
struct MemberRecord {
  std::string name, address;
  std::uint64_t incarnation = 0, refutation = 0;
  MemberStatus status = MemberStatus::joining;
  std::string suspected_by;  // who suspects it; tells two accusers apart, and decides nothing

  auto order() const { return std::tie(incarnation, address, refutation, status); }
};

// Records of one name are totally ordered, so that taking the greater of two is commutative, associative and
// idempotent: order, repetition and loss of messages change nothing in the end.
inline bool supersedes(const MemberRecord& a, const MemberRecord& b) { return b.order() < a.order(); }

}  // namespace lotusyard::gossip
