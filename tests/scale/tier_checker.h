// An independent check of what the control tier promises, over the history of a hollow fleet. It knows true
// time, every clock, and the reference state of the records.
#pragma once

#include <string>
#include <vector>

#include "scale/hollow_fleet.h"

namespace lotusyard::test {

class TierChecker : public FleetObserver {
 public:
  enum class Rule {
    lease_behind_proof,    // a lease is held behind an index that was concluded to be applied everywhere
    settled_behind_proof,  // the same of what was concluded to be settled, with calls under way
    lease_outlasts_node,   // a session's lease ends after the lease of the node that granted it
    records_differ,        // a change was skipped, or applied twice
    delta_skipped,         // a node sent a delta that does not follow on from what it sent before
    left_behind            // an invoker was not up to date, or had no lease, long after the last fault
  };
  struct Violation {
    Rule rule;
    double at = 0;  // true time
    std::string what;
  };

  explicit TierChecker(HollowFleet& fleet) : fleet_(fleet) { fleet.observe(*this); }
  void compare_records_every(std::uint64_t moves) { compare_every_ = moves; }

  void moved(const HollowInvoker& invoker, Index from, const HollowInvoker::Move& move, double now) override;
  void leased(const HollowInvoker& invoker, Millis before, double now) override;
  void proved(const Proof& proof, double now) override;

  // To be called once nothing has failed for a while: each live invoker must have all changes that were
  // agreed upon until then, and a lease.
  void expect_all_served(Index agreed, double now);

  const std::vector<Violation>& violations() const { return violations_; }
  bool found(Rule rule) const;
  std::string text() const;  // of the first violations
  const Proof& proof() const { return proof_; }
  std::uint64_t moves() const { return moves_; }
  std::uint64_t leases() const { return leases_; }

 private:
  HollowFleet& fleet_;
  Proof proof_;
  std::vector<Violation> violations_;
  std::uint64_t moves_ = 0, leases_ = 0, compare_every_ = 1;

  void violate(Rule rule, double now, const HollowInvoker& invoker, const std::string& what);
  bool busy_below(const HollowInvoker& invoker, Index needed, double now) const;
};

const char* name_of(TierChecker::Rule rule);

}  // namespace lotusyard::test
