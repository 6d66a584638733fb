// The gossiped state of one member, and which of two records of it is newer. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "lotusyard/policy/policy.h"

namespace lotusyard::gossip {

using policy::Millis;

// In ascending precedence: of two records that are otherwise equal, the greater status supersedes. The values
// are encoded in messages.
enum class MemberStatus : std::uint8_t { joining, alive, suspect, dead, left };

// The lower-case name, as in admin JSON, counters and log lines.
const char* name_of(MemberStatus status);

// True unless the member is dead or has left.
inline bool is_present(MemberStatus status) { return status < MemberStatus::dead; }

struct MemberRecord {
  std::string name;
  std::string address;
  // Kept in the member's store; grows with each start. Only the member itself increases it.
  std::uint64_t incarnation = 0;
  // Counts the suspicions that the member has refuted within an incarnation. Only the member itself increases
  // it.
  std::uint64_t refutation = 0;
  MemberStatus status = MemberStatus::joining;
  // The member that suspects this one. Distinguishes independent suspicions; no part of the precedence.
  std::string suspected_by;

  auto precedence() const { return std::tie(incarnation, address, refutation, status); }
};

// Records of one member are totally ordered, so merging by taking the greater one is commutative, associative
// and idempotent: members converge whatever the order, repetition and loss of messages.
inline bool supersedes(const MemberRecord& candidate, const MemberRecord& current) {
  return current.precedence() < candidate.precedence();
}

}  // namespace lotusyard::gossip
