// Costs of the control tier per invoker and node, by size, rate of changes and records. Run by name, in a
// Release build without sanitizers: [scale-measure]. Prints one line of JSON for each figure.
#include <catch2/catch.hpp>

#include "scale/figures.h"
#include "scale/hollow_fleet.h"

namespace lotusyard::test {
namespace {

constexpr double kSecond = 1000;
constexpr double kHeaderBytes = 40;  // of TCP and IP, assuming one packet per message

struct MeasureCase {
  std::string test;
  std::size_t invokers = 1000, nodes = 28;
  double changes_per_second = 0.43;
  std::size_t records = 1000;
};

struct Usage {
  Traffic traffic;
  double processor = 0;  // seconds
};

template <typename Process>
std::vector<Usage> usage_of(const std::vector<std::unique_ptr<Process>>& processes) {
  std::vector<Usage> out;
  for (const auto& process : processes)
    out.push_back({process->traffic, process->cpu.seconds()});
  return out;
}

FleetOptions options_of(const MeasureCase& given) {
  FleetOptions out;
  out.invokers = given.invokers;
  out.nodes = given.nodes;
  out.zones = 11;
  out.regions = 5;
  out.records = given.records;
  out.value_bytes = 100;
  out.change_bytes = 500;
  out.keeps_states = false;
  out.start_spread = 10 * kSecond;
  out.sessions.max_sessions = 2 * given.invokers;  // enough for few nodes to hold all sessions
  return out;
}

using Points = std::map<std::string, double>;  // medians, by role and metric

// Prints the rates and adds their medians to `medians`.
void print_usage(const RunLabel& label, const std::string& role, const std::vector<Usage>& before,
                 const std::vector<Usage>& after, Points& medians) {
  std::map<std::string, Sample> samples;
  const auto add = [&](const std::string& metric, double more) {
    samples[metric].add(more / label.virtual_seconds);
  };
  for (std::size_t i = 0; i < before.size(); ++i) {
    const Traffic &from = before[i].traffic, &to = after[i].traffic;
    const auto sent = static_cast<double>(to.messages_sent - from.messages_sent);
    const auto received = static_cast<double>(to.messages_received - from.messages_received);
    const auto bytes_sent = static_cast<double>(to.bytes_sent - from.bytes_sent);
    const auto bytes_received = static_cast<double>(to.bytes_received - from.bytes_received);
    add("messages_sent_per_second", sent);
    add("messages_received_per_second", received);
    add("bytes_sent_per_second", bytes_sent);
    add("bytes_received_per_second", bytes_received);
    add("bytes_sent_per_second_with_headers", bytes_sent + sent * kHeaderBytes);
    add("bytes_received_per_second_with_headers", bytes_received + received * kHeaderBytes);
    add("processor_us_per_second", (after[i].processor - before[i].processor) * 1e6);
  }
  for (auto& [metric, sample] : samples) {
    print_point(label, role, metric, sample);
    medians[role + " " + metric] = sample.quantile(0.5);
  }
}

// Schedules changes at the same times for all sizes, so that results are comparable.
void schedule_changes_evenly(HollowFleet& fleet, double changes_per_second, double span) {
  if (changes_per_second <= 0)
    return;
  const double pause = kSecond / changes_per_second;
  for (double at = pause / 2; at < span - kSecond; at += pause)
    fleet.at(fleet.now() + at, [&fleet] { fleet.change(); });
}

Points measure(const MeasureCase& given) {
  HollowFleet fleet(options_of(given));
  CpuMeter::enabled = true;
  const double span = 60 * kSecond;
  fleet.run(20 * kSecond);
  schedule_changes_evenly(fleet, given.changes_per_second, span);
  const auto invokers = usage_of(fleet.invokers());
  const auto nodes = usage_of(fleet.nodes());
  const Index first = fleet.log().last();
  fleet.run(span);
  CpuMeter::enabled = false;
  RunLabel label{given.test, given.invokers, given.nodes, span / kSecond, fleet.options().seed, {}};
  label.more = {{"changes_per_second", given.changes_per_second},
                {"changes", fleet.log().changes_between(first, fleet.log().last()).size()},
                {"records", given.records}};
  Points medians;
  print_usage(label, "invoker", invokers, usage_of(fleet.invokers()), medians);
  print_usage(label, "node", nodes, usage_of(fleet.nodes()), medians);
  return medians;
}

// Prints the growth of each median per thousand invokers.
void print_slopes(const std::string& test, const std::vector<std::pair<double, Points>>& by_size) {
  for (const auto& [metric, first] : by_size.front().second) {
    std::vector<std::pair<double, double>> points;
    for (const auto& [size, medians] : by_size)
      points.emplace_back(size, medians.at(metric));
    const double each_thousand = slope(points) * 1000;
    const nlohmann::ordered_json out = {{"test", test},
                                        {"slope_of", metric},
                                        {"first", rounded(first)},
                                        {"last", rounded(by_size.back().second.at(metric))},
                                        {"slope_per_1000_invokers", rounded(each_thousand)}};
    std::cout << out.dump() << std::endl;
  }
}

}  // namespace

TEST_CASE("costs by number of invokers", "[.][scale-measure]") {
  for (const double rate : {0.0, 0.43, 4.3}) {
    std::vector<std::pair<double, Points>> by_size;
    for (const std::size_t invokers : {100, 300, 1000, 3000, 10000, 16000}) {
      MeasureCase given{"by-invokers", invokers, 28, rate, 100};
      by_size.emplace_back(static_cast<double>(invokers), measure(given));
    }
    print_slopes("by-invokers, changes a second: " + std::to_string(rate), by_size);
  }
}

TEST_CASE("costs by number of nodes", "[.][scale-measure]") {
  for (const std::size_t nodes : {5, 14, 28})
    measure({"by-nodes", 3000, nodes, 0.43, 100});
}

TEST_CASE("costs by number of records", "[.][scale-measure]") {
  for (const std::size_t records : {100, 1000, 4096})
    measure({"by-records", 1000, 28, 4.3, records});
}

}  // namespace lotusyard::test
