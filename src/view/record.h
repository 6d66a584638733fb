// What is passed on about one member, and which of two records of it holds. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "robinfold/policy.h"

namespace lotusyard::view {

using robinfold::Millis;

// In the order in which one outdoes the other where all else is the same.
enum class Standing : std::uint8_t { joining, alive, suspect, dead, left };
const char* name_of(Standing standing);
inline bool here(Standing s) { return s < Standing::dead; }

// `life` is kept in the member's store and grows with each start; `round` counts, within a life, how often
// the member has spoken against gossip about itself. Only the member itself makes either grow.
struct Peer {
  std::string name, address;
  std::uint64_t life = 0, round = 0;
  Standing standing = Standing::joining;
  std::string by;  // who suspects it; tells two accusers apart, and decides nothing

  auto order() const { return std::tie(life, address, round, standing); }
};

// Records of one name are totally ordered, so that taking the greater of two is commutative, associative and
// idempotent: order, repetition and loss of messages change nothing in the end.
inline bool outdoes(const Peer& a, const Peer& b) { return b.order() < a.order(); }

}  // namespace lotusyard::view
