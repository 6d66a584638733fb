// The control tier at full size, run by name: [scale]. Prints one line of JSON for each figure.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "scale/tier_checker.h"
#include "scale/tier_recorder.h"

namespace lotusyard::test {
namespace {

constexpr double kSecond = 1000, kMinute = 60000;
constexpr double kWarmUp = 30 * kSecond;
constexpr double kObservationTime = 25 * kSecond;  // after a node failure
constexpr std::uint64_t kCompareEvery = 50;

std::size_t invokers_from_env(std::size_t fallback) {
  const char* text = std::getenv("TIER_INVOKERS");
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

FleetOptions full_size_options(std::size_t invokers) {
  FleetOptions out;
  out.invokers = invokers;
  out.nodes = 28;
  out.zones = 11;
  out.regions = 5;
  out.change_bytes = 500;
  out.value_bytes = 100;
  out.start_spread = 20 * kSecond;
  return out;
}

RunLabel label_of(const std::string& test, const HollowFleet& fleet) {
  return {test, fleet.options().invokers, fleet.options().nodes, 0, fleet.options().seed, {}};
}

void print_sessions(HollowFleet& fleet, const TierRecorder& recorder, const RunLabel& label) {
  std::vector<std::size_t> sessions_by_node(fleet.nodes().size(), 0);
  std::size_t open = 0, leased = 0;
  for (const auto& invoker : fleet.invokers()) {
    if (!invoker->up())
      continue;
    if (invoker->session->open())
      ++open, ++sessions_by_node[recorder.node_of(*invoker)];
    if (invoker->holds_lease(fleet.now()))
      ++leased;
  }
  Sample sessions;
  for (std::size_t i = 0; i < sessions_by_node.size(); ++i) {
    if (fleet.nodes()[i]->up())
      sessions.add(static_cast<double>(sessions_by_node[i]));
  }
  print_point(label, "node", "sessions", sessions);
  print_value(label, "fleet", "open_sessions", static_cast<double>(open));
  print_value(label, "fleet", "invokers_with_lease", static_cast<double>(leased));
}

void print_lapses(const TierRecorder& recorder, const RunLabel& label) {
  Sample gaps;
  for (const auto& lapse : recorder.lapses())
    gaps.add(lapse.gap);
  print_point(label, "invoker", "ms_without_lease", gaps);
}

void kill_node_each_minute(HollowFleet& fleet, const TierRecorder& recorder, const RunLabel& label,
                           int minutes, std::vector<std::unique_ptr<NodeFailureRecorder>>& recorders) {
  for (int minute = 0; minute < minutes; ++minute) {
    const std::size_t node = static_cast<std::size_t>(minute * 3) % fleet.nodes().size();
    const double at = fleet.now() + minute * kMinute + kMinute / 2;
    const bool resets = minute % 2 == 0;  // otherwise its machine fails, and no connection is reset
    fleet.at(at, [&fleet, &recorder, &recorders, node, resets, label] {
      recorders.push_back(
          std::make_unique<NodeFailureRecorder>(fleet, recorder, std::vector<std::size_t>{node}));
      fleet.kill_node(node, resets);
      RunLabel named = label;
      named.test = "node-death";
      named.more = {{"node", fleet.nodes()[node]->address.name},
                    {"zone", fleet.nodes()[node]->address.zone},
                    {"resets", resets}};
      named.virtual_seconds = kObservationTime / kSecond;
      fleet.at(fleet.now() + kObservationTime,
               [failure = recorders.back().get(), named] { failure->finish(named); });
    });
    fleet.at(at + kMinute / 2, [&fleet, node] { fleet.start_node(node); });
  }
}

}  // namespace

TEST_CASE("ten minutes at full size, a node dying each minute", "[.][scale]") {
  constexpr int kMinutes = 10, kBurst = 100;
  HollowFleet fleet(full_size_options(invokers_from_env(16000)));
  TierChecker checker(fleet);
  checker.compare_records_every(kCompareEvery);
  fleet.run(kWarmUp);
  TierRecorder recorder(fleet);
  RunLabel label = label_of("ten-minutes", fleet);
  label.virtual_seconds = kMinutes * kMinute / kSecond;
  print_sessions(fleet, recorder, label);
  std::vector<std::unique_ptr<NodeFailureRecorder>> recorders;
  kill_node_each_minute(fleet, recorder, label, kMinutes, recorders);
  fleet.changes_each_second(0.43, fleet.now() + kMinutes * kMinute);
  fleet.at(fleet.now() + kMinutes * kMinute / 2, [&fleet] {
    for (int i = 0; i < kBurst; ++i)
      fleet.change();
  });
  fleet.run(kMinutes * kMinute + kWarmUp);
  checker.expect_all_served(fleet.log().last_change(fleet.log().last()), fleet.now());
  print_point(label, "invoker", "ms_from_agreement_to_application", recorder.to_apply());
  print_lapses(recorder, label);
  print_sessions(fleet, recorder, label);
  print_value(label, "fleet", "violations", static_cast<double>(checker.violations().size()));
  print_value(label, "fleet", "moves_checked", static_cast<double>(checker.moves()));
  print_value(label, "fleet", "leases_checked", static_cast<double>(checker.leases()));
  INFO(checker.text());
  CHECK(checker.violations().empty());
  CHECK(recorder.to_apply().quantile(1) <= 7 * kSecond);
}

namespace {

void lose_zone(const std::string& test, bool with_invokers) {
  constexpr int kZone = 0;
  HollowFleet fleet(full_size_options(invokers_from_env(16000)));
  TierChecker checker(fleet);
  checker.compare_records_every(kCompareEvery);
  fleet.run(kWarmUp);
  TierRecorder recorder(fleet);
  RunLabel label = label_of(test, fleet);
  label.virtual_seconds = 60;
  fleet.changes_each_second(0.43, fleet.now() + kMinute);
  fleet.run(5 * kSecond);
  std::vector<std::size_t> nodes;
  for (const auto& node : fleet.nodes()) {
    if (node->endpoint.zone == kZone)
      nodes.push_back(node->endpoint.number);
  }
  NodeFailureRecorder failure(fleet, recorder, nodes);
  for (const std::size_t node : nodes)
    fleet.kill_node(node, false);
  for (std::size_t i = 0; with_invokers && i < fleet.invokers().size(); ++i) {
    if (fleet.invokers()[i]->endpoint.zone == kZone)
      fleet.kill_invoker(i);
  }
  fleet.run(kMinute);
  failure.finish(label);
  print_point(label, "invoker", "ms_from_agreement_to_application", recorder.to_apply());
  print_lapses(recorder, label);
  print_sessions(fleet, recorder, label);
  print_value(label, "fleet", "violations", static_cast<double>(checker.violations().size()));
  INFO(checker.text());
  CHECK(checker.violations().empty());
}

}  // namespace

TEST_CASE("a zone is lost with its invokers", "[.][scale]") { lose_zone("zone-lost", true); }
TEST_CASE("a zone's nodes are lost, its invokers keep running", "[.][scale]") {
  lose_zone("zone-nodes-lost", false);
}

}  // namespace lotusyard::test
