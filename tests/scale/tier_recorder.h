// What the long runs of a hollow fleet measure: how long changes take, and what becomes of sessions that
// lose their node.
#pragma once

#include "scale/figures.h"
#include "scale/hollow_fleet.h"

namespace lotusyard::test {

// Counted from construction on.
class TierRecorder : public FleetObserver {
 public:
  struct Opening {
    double at = 0;
    std::size_t invoker = 0, node = 0;
  };
  struct Lapse {
    double at = 0;  // when there was a lease again
    double gap = 0;
    std::size_t invoker = 0;
  };

  explicit TierRecorder(HollowFleet& fleet);
  void moved(const HollowInvoker& invoker, Index from, const HollowInvoker::Move& move, double now) override;
  void leased(const HollowInvoker& invoker, Millis before, double now) override;
  void opened(const HollowInvoker& invoker, double now) override;

  Sample& to_apply() { return to_apply_; }  // milliseconds from agreement, for each change and invoker
  const std::vector<Opening>& openings() const { return openings_; }
  const std::vector<Lapse>& lapses() const { return lapses_; }
  std::size_t node_of(const HollowInvoker& invoker) const;

 private:
  HollowFleet& fleet_;
  double began_;
  Sample to_apply_;
  std::vector<Opening> openings_;
  std::vector<Lapse> lapses_;
  std::map<std::string, std::size_t> node_by_name_;
};

// Follows the sessions of nodes that die at one moment.
class DeathWatch : public FleetObserver {
 public:
  DeathWatch(HollowFleet& fleet, const TierRecorder& recorder, std::vector<std::size_t> dying);
  void opened(const HollowInvoker& invoker, double now) override;
  void leased(const HollowInvoker& invoker, Millis before, double now) override;

  // What was seen until now goes to the output, and nothing more is followed.
  void finish(const RunLabel& label);

 private:
  struct Orphan {
    double session_at = 0, lease_at = 0, gap = 0;
  };
  HollowFleet& fleet_;
  const TierRecorder& recorder_;
  double died_at_;
  std::vector<std::size_t> dying_;
  std::map<std::size_t, Orphan> orphans_;                                // by invoker
  std::map<std::size_t, std::map<int, std::size_t>> opens_each_second_;  // by node and second
};

}  // namespace lotusyard::test
