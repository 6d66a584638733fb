// The order in which a member probes the others. No I/O.
#pragma once

#include <deque>
#include <random>
#include <string>

#include "gossip/member_table.h"

namespace lotusyard::gossip {

// Round-robin over a random permutation, reshuffled for each round. Every member is probed once in a
// round, which bounds the time to detect a failure.
class ProbeOrder {
 public:
  // `random` must outlive this object.
  explicit ProbeOrder(std::mt19937_64& random) : random_(random) {}

  // Name of the next present member other than `self`; empty if there is none.
  std::string next(const MemberTable& members, const std::string& self);
  // Adds a member that has just appeared at a random position of the current round.
  void insert(const std::string& name);

 private:
  std::mt19937_64& random_;
  std::deque<std::string> remaining_;

  std::string take_present(const MemberTable& members);
  void start_round(const MemberTable& members, const std::string& self);
};

}  // namespace lotusyard::gossip
