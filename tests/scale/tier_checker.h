// Checks the invariants of the control tier over the history of a hollow fleet, independently of its code. It
// has access to true time, every clock, and the reference state of the records.
#pragma once

#include <string>
#include <vector>

#include "scale/hollow_fleet.h"

namespace lotusyard::test {

class TierChecker : public FleetObserver {
 public:
  enum class Rule {
    lease_behind_proof,    // a lease is held at a position below the index proved to be applied
    settled_behind_proof,  // calls are in flight below the index proved to be quiesced
    lease_outlasts_node,   // a session's lease ends after the lease of its granting node
    records_differ,        // a replica skipped a change or applied it twice
    delta_skipped,         // a node sent a delta that leaves a gap after what it sent before
    left_behind            // an invoker is out of date or has no lease long after the last fault
  };
  struct Violation {
    Rule rule;
    double at = 0;  // true time
    std::string what;
  };

  explicit TierChecker(HollowFleet& fleet) : fleet_(fleet) { fleet.observe(*this); }
  void compare_records_every(std::uint64_t moves) { compare_every_ = moves; }

  void on_move(const HollowInvoker& invoker, Index from, const HollowInvoker::Move& move,
               double now) override;
  void on_lease(const HollowInvoker& invoker, Millis before, double now) override;
  void on_proof(const Proof& proof, double now) override;

  // Called after a period without faults: each running invoker must have a lease and all changes that were
  // agreed up to `agreed`.
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
  bool has_calls_below(const HollowInvoker& invoker, Index needed, double now) const;
};

const char* name_of(TierChecker::Rule rule);

}  // namespace lotusyard::test
