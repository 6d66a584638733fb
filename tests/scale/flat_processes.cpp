// Costs of a group of real processes at rest, by members, by changes per second and by listed hosts.
// Run by name: lotusyard_scale_tests "[flat-processes]"; LOTUSYARD_MEMBERS=3,10 for other sizes,
// LOTUSYARD_SCALE_S=60 for a longer interval.
#include <catch2/catch.hpp>

#include "scale/certificate_proposer.h"
#include "scale/point.h"
#include "scale/process_fleet.h"

namespace lotusyard::scale {
namespace {

struct RestCase {
  std::string test;
  FleetShape shape;
  double changes = 0;  // proposals per second
  double settle = 20, seconds = 30;
};

// One value for each member of a role, by role and metric.
using Figures = std::map<std::pair<std::string, std::string>, std::vector<double>>;

void add_rates(Figures& figures, const std::string& role, const UsageRate& rate, const Usage& after) {
  const auto add = [&](const char* metric, double value) { figures[{role, metric}].push_back(value); };
  add("core_share", rate.core_share);
  add("sent_bytes_s", rate.sent);
  add("received_bytes_s", rate.received);
  add("group_sent_bytes_s", rate.members_sent);
  add("group_received_bytes_s", rate.members_received);
  add("segments_out_s", rate.segments_out);
  add("resident_mb", after.resident_bytes / kMegabyte);
  add("descriptors", after.descriptors);
}

// Measures one fleet at rest, prints its points and returns the figures for fits.
Figures measure(const RestCase& given) {
  ProcessFleet fleet(given.shape);
  REQUIRE(fleet.all_ready());
  fleet.run(given.settle);
  REQUIRE(fleet.leader() != nullptr);
  const std::string leader = fleet.leader()->name;
  CertificateProposer proposer(fleet, fleet.members().front(), given.changes);

  const std::vector<std::string> counted = {kFramesSent, kViewsMalformed, kFramesTooLong, kLinksEnded};
  const double counted_at = fleet.now();
  const auto counts = fleet.counters(counted);
  const auto before = fleet.usage();
  const double seconds = fleet.run(given.seconds, [&] { proposer.propose_if_due(); });
  const auto after = fleet.usage();
  const double counted_for = fleet.now() - counted_at;
  const auto counts_after = fleet.counters(counted);
  CHECK(fleet.leader()->name == leader);  // otherwise figures of two leaders are mixed

  Figures figures;
  for (std::size_t i = 0; i < fleet.members().size(); ++i) {
    const std::string role = fleet.members()[i].name == leader ? "leader" : "other";
    add_rates(figures, role, rate_between(before[i], after[i], seconds), after[i]);
    for (const auto& name : counted)
      figures[{role, name + "_s"}].push_back((counts_after.at(name)[i] - counts.at(name)[i]) / counted_for);
  }
  const double changes = static_cast<double>(proposer.accepted()) / seconds;
  for (const auto& [key, values] : figures) {
    print({given.test,
           static_cast<std::size_t>(given.shape.members),
           key.first,
           key.second,
           seconds,
           {{"hosts", given.shape.hosts}, {"voters", given.shape.voters()}, {"changes_s", changes}}},
          values);
  }
  return figures;
}

// Measures one fleet after the other and prints the fit of every metric against the varied quantity.
void measure_all(const std::vector<RestCase>& cases, const std::string& against, double target,
                 const std::function<double(const RestCase&)>& x_of) {
  std::map<std::pair<std::string, std::string>, Series> series;
  for (const auto& rest_case : cases) {
    for (const auto& [key, values] : measure(rest_case))
      series[key].add(x_of(rest_case), median(values));
  }
  for (const auto& [key, line] : series)
    print_fit({cases.front().test, 0, key.first, key.second, 0, {}}, against, line, target);
}

double interval() { return numbers_from_env("LOTUSYARD_SCALE_S", {30}).front(); }
double settle_for(double members) { return 15 + members / 4; }

TEST_CASE("processes at rest, by members", "[.][scale][flat-processes]") {
  std::vector<RestCase> cases;
  for (const double n : numbers_from_env("LOTUSYARD_MEMBERS", {3, 10, 30, 60, 100}))
    cases.push_back({"processes_by_members", {static_cast<int>(n), 12}, 0, settle_for(n), interval()});
  measure_all(cases, "members", kTargetMembers, [](const auto& c) { return c.shape.members; });
}

TEST_CASE("processes, by changes a second", "[.][scale][flat-changes]") {
  std::vector<RestCase> cases;
  for (const double changes : {0.0, kTargetChangesPerSecond, 10 * kTargetChangesPerSecond})
    cases.push_back({"processes_by_changes", {30, 12}, changes, settle_for(30), interval()});
  measure_all(cases, "changes_s", kTargetChangesPerSecond, [](const auto& c) { return c.changes; });
}

TEST_CASE("processes at rest, by hosts listed", "[.][scale][flat-hosts]") {
  constexpr double hosts_at_target = 10000;
  std::vector<RestCase> cases;
  for (const double hosts : numbers_from_env("LOTUSYARD_HOSTS", {12, 120, 1000}))
    cases.push_back({"processes_by_hosts", {10, static_cast<int>(hosts)}, 0, settle_for(10), interval()});
  measure_all(cases, "hosts", hosts_at_target, [](const auto& c) { return c.shape.hosts; });
}

// The members' sockets must count as many bytes sent as received, or the measurement is wrong; and at rest
// the leader must send more than the others.
TEST_CASE("three processes at rest, short run", "[scale-short]") {
  const Figures figures = measure({"processes_short", {3, 12}, 0, 1, 3});
  const auto sum = [&](const std::string& metric) {
    double out = 0;
    for (const auto& [key, values] : figures) {
      for (const double value : values)
        out += key.second == metric ? value : 0;
    }
    return out;
  };
  const auto of = [&](const std::string& role, const std::string& metric) {
    return median(figures.at({role, metric}));
  };
  CHECK(sum("group_sent_bytes_s") > 100);
  CHECK(sum("group_sent_bytes_s") == Approx(sum("group_received_bytes_s")).epsilon(0.1));
  CHECK(of("leader", "group_sent_bytes_s") > of("other", "group_sent_bytes_s"));
  CHECK(of("leader", "group_sent_bytes_s") < 13000);  // limit of an invoker's control traffic
  CHECK(of("other", "descriptors") < 32);
  CHECK(sum(std::string(kLinksEnded) + "_s") == 0);
}

}  // namespace
}  // namespace lotusyard::scale
