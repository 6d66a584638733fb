// A region that is partitioned for an hour together with its control nodes, run by name: [scale].
#include <catch2/catch.hpp>
#include <cstdlib>

#include "scale/tier_checker.h"
#include "scale/tier_recorder.h"

namespace lotusyard::test {
namespace {

constexpr double kSecond = 1000, kMinute = 60000;
constexpr int kRegion = 1, kCutName = 1;

// Measures how the invokers of the region catch up after it is reconnected.
class CatchUp : public FleetObserver {
 public:
  explicit CatchUp(HollowFleet& fleet)
      : fleet_(fleet), target_(fleet.log().last_change(fleet.log().last())), healed_at_(fleet.now()) {
    for (const auto& invoker : fleet.invokers())
      bytes_before_.push_back(invoker->traffic.bytes_received);
    fleet.observe(*this);
  }
  void on_move(const HollowInvoker& invoker, Index from, const HollowInvoker::Move& move,
               double now) override {
    if (invoker.endpoint.region != kRegion || from >= target_)
      return;
    if (move.by_snapshot)
      ++snapshots;
    if (move.position < target_)
      return;
    times.add(now - healed_at_);
    bytes.add(static_cast<double>(invoker.traffic.bytes_received - bytes_before_[invoker.endpoint.number]));
  }
  void on_lease(const HollowInvoker& invoker, Millis before, double now) override {
    if (invoker.endpoint.region == kRegion && invoker.clock.true_time(before) < healed_at_)
      leases.add(now - healed_at_);
  }
  Sample times, bytes, leases;
  std::size_t snapshots = 0;

 private:
  HollowFleet& fleet_;
  Index target_;
  double healed_at_;
  std::vector<std::uint64_t> bytes_before_;
};

// Milliseconds from the cut until no invoker in the region holds a lease.
double wait_until_leases_end(HollowFleet& fleet) {
  const double started = fleet.now();
  const auto any_lease = [&fleet] {
    return std::any_of(fleet.invokers().begin(), fleet.invokers().end(), [&](const auto& invoker) {
      return invoker->endpoint.region == kRegion && invoker->holds_lease(fleet.now());
    });
  };
  while (any_lease() && fleet.now() < started + kMinute)
    fleet.run(20);
  return fleet.now() - started;
}

std::size_t leases_outside(const HollowFleet& fleet) {
  std::size_t out = 0;
  for (const auto& invoker : fleet.invokers()) {
    if (invoker->endpoint.region != kRegion && invoker->holds_lease(fleet.now()))
      ++out;
  }
  return out;
}

FleetOptions region_options(std::size_t kept_changes) {
  FleetOptions out;
  const char* text = std::getenv("TIER_REGION_INVOKERS");
  out.invokers = text == nullptr ? 3000 : std::strtoull(text, nullptr, 10);
  out.nodes = 28;
  out.zones = 11;
  out.regions = 5;
  out.records = 1000;
  out.value_bytes = 100;
  out.change_bytes = 500;
  out.changes.changes = kept_changes;
  out.start_spread = 10 * kSecond;
  return out;
}

void cut_region(const std::string& test, std::size_t kept_changes) {
  HollowFleet fleet(region_options(kept_changes));
  TierChecker checker(fleet);
  checker.compare_records_every(500);
  fleet.run(20 * kSecond);
  RunLabel label{test, fleet.options().invokers, fleet.options().nodes, 3600, fleet.options().seed, {}};
  Cut cut;
  cut.inside = [](const Endpoint& endpoint) { return endpoint.region == kRegion; };
  fleet.changes_each_second(0.43, fleet.now() + 61 * kMinute);
  fleet.cut(kCutName, cut);
  print_value(label, "invoker", "ms_until_all_leases_inside_ended", wait_until_leases_end(fleet));
  fleet.run(60 * kMinute);
  print_value(label, "fleet", "leases_outside", static_cast<double>(leases_outside(fleet)));
  CatchUp catch_up(fleet);
  fleet.heal(kCutName);
  fleet.run(kMinute);
  print_point(label, "invoker", "ms_to_catch_up", catch_up.times);
  print_point(label, "invoker", "bytes_to_catch_up", catch_up.bytes);
  print_point(label, "invoker", "ms_to_a_lease_after_healing", catch_up.leases);
  print_value(label, "invoker", "caught_up_by_snapshot", static_cast<double>(catch_up.snapshots));
  print_value(label, "fleet", "violations", static_cast<double>(checker.violations().size()));
  checker.expect_all_served(fleet.log().last_change(fleet.log().last()), fleet.now());
  INFO(checker.text());
  CHECK(checker.violations().empty());
}

}  // namespace

TEST_CASE("a region is cut off for an hour: by deltas", "[.][scale]") { cut_region("region-deltas", 4096); }
TEST_CASE("a region is cut off for an hour: by snapshot", "[.][scale]") {
  cut_region("region-snapshot", 1000);
}

}  // namespace lotusyard::test
