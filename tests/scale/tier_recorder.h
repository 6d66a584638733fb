// Measurements of long runs of a hollow fleet: how long changes take to be applied, and how sessions recover
// when their node fails.
#pragma once

#include "scale/figures.h"
#include "scale/hollow_fleet.h"

namespace lotusyard::test {

// Records what happens after its construction.
class TierRecorder : public FleetObserver {
 public:
  struct Opening {
    double at = 0;
    std::size_t invoker = 0, node = 0;
  };
  struct Lapse {
    double at = 0;  // when the invoker had a lease again
    double gap = 0;
    std::size_t invoker = 0;
  };

  explicit TierRecorder(HollowFleet& fleet);
  void on_move(const HollowInvoker& invoker, Index from, const HollowInvoker::Move& move,
               double now) override;
  void on_lease(const HollowInvoker& invoker, Millis before, double now) override;
  void on_session_opened(const HollowInvoker& invoker, double now) override;

  Sample& to_apply() { return to_apply_; }  // milliseconds from agreement, for each change and invoker
  const std::vector<Opening>& openings() const { return openings_; }
  const std::vector<Lapse>& lapses() const { return lapses_; }
  std::size_t node_of(const HollowInvoker& invoker) const;

 private:
  HollowFleet& fleet_;
  double started_;
  Sample to_apply_;
  std::vector<Opening> openings_;
  std::vector<Lapse> lapses_;
  std::map<std::string, std::size_t> node_by_name_;
};

// Records the recovery of the sessions of nodes that fail at the same time.
class NodeFailureRecorder : public FleetObserver {
 public:
  NodeFailureRecorder(HollowFleet& fleet, const TierRecorder& recorder,
                      std::vector<std::size_t> failed_nodes);
  void on_session_opened(const HollowInvoker& invoker, double now) override;
  void on_lease(const HollowInvoker& invoker, Millis before, double now) override;

  // Prints what was recorded and stops recording.
  void finish(const RunLabel& label);

 private:
  struct LostSession {
    double session_at = 0, lease_at = 0, gap = 0;
  };
  HollowFleet& fleet_;
  const TierRecorder& recorder_;
  double failed_at_;
  std::vector<std::size_t> failed_nodes_;
  std::map<std::size_t, LostSession> lost_sessions_;                     // by invoker
  std::map<std::size_t, std::map<int, std::size_t>> opens_each_second_;  // by node and second
};

}  // namespace lotusyard::test
