// Costs of the control tier at rest, with real processes: 3 voters and 3 control nodes without a vote in one
// group, and N invokers that each keep a session. Run by name: lotusyard_scale_tests "[tier-processes]" and
// "[tier-changes]"; LOTUSYARD_INVOKERS=3,10 for other sizes, LOTUSYARD_SCALE_S=60 for a longer interval.
#include <catch2/catch.hpp>

#include "scale/certificate_proposer.h"
#include "scale/point.h"
#include "scale/process_fleet.h"
#include "scale/session_reader.h"

namespace lotusyard::scale {
namespace {

using Kind = ProcessFleet::Kind;

constexpr int kVoters = 3, kControlNodes = 3, kHosts = 12;
constexpr int kTimedChanges = 20;                // proposals whose propagation to the invokers is timed
constexpr double kArrivalTimeout = 10;           // seconds, after which a change counts as lost
constexpr double kMaxIdleBytesPerSecond = 1024;  // in each direction, of an invoker with a session
constexpr double kMaxDescriptors = 40;           // of an invoker with a session

struct TierCase {
  std::string test;
  int invokers = 0;
  double changes = 0;  // proposals per second
  double settle = 15, seconds = 30;
};

// One value for each process of a role, by role and metric.
using Figures = std::map<std::pair<std::string, std::string>, std::vector<double>>;

FleetShape shape_of(const TierCase& given) {
  return {kVoters + kControlNodes, kHosts, kControlNodes, given.invokers};
}

std::string role_of(const ProcessFleet::Member& member, const std::string& leader) {
  if (member.name == leader)
    return "leader";
  if (member.kind == Kind::invoker)
    return "invoker";
  return member.kind == Kind::control_node ? "control_node" : "voter";
}

double sessions_in(const Usage& usage) {
  return static_cast<double>(std::count_if(usage.sockets.begin(), usage.sockets.end(),
                                           [](const auto& socket) { return socket.second.among_members; }));
}

// Connections closed in between; their traffic is missing from the rates.
double connections_ended(const Usage& before, const Usage& after) {
  return static_cast<double>(
      std::count_if(before.sockets.begin(), before.sockets.end(),
                    [&after](const auto& socket) { return after.sockets.count(socket.first) == 0; }));
}

void add_rates(Figures& figures, const std::string& role, const Usage& before, const Usage& after,
               double seconds) {
  const UsageRate rate = rate_between(before, after, seconds);
  const auto add = [&](const char* metric, double value) { figures[{role, metric}].push_back(value); };
  add("core_share", rate.core_share);
  add("sent_bytes_s", rate.sent);
  add("received_bytes_s", rate.received);
  add("session_sent_bytes_s", rate.members_sent);
  add("session_received_bytes_s", rate.members_received);
  add("segments_out_s", rate.segments_out);
  add("resident_mb", after.resident_bytes / kMegabyte);
  add("descriptors", after.descriptors);
  add("sessions", sessions_in(after));
  add("connections_ended", connections_ended(before, after));
}

void print_figures(const TierCase& given, double changes, double seconds, const Figures& figures) {
  for (const auto& [key, values] : figures) {
    print(
        {given.test,
         static_cast<std::size_t>(given.invokers),
         key.first,
         key.second,
         seconds,
         {{"hosts", kHosts}, {"voters", kVoters}, {"control_nodes", kControlNodes}, {"changes_s", changes}}},
        values);
  }
}

std::vector<const ProcessFleet::Member*> members_of(ProcessFleet& fleet, Kind kind) {
  std::vector<const ProcessFleet::Member*> out;
  for (const auto& member : fleet.members()) {
    if (member.kind == kind)
      out.push_back(&member);
  }
  return out;
}

void start(ProcessFleet& fleet, const TierCase& given) {
  REQUIRE(fleet.all_ready());
  fleet.run(given.settle);
  REQUIRE(fleet.leader() != nullptr);
}

// Measures one interval of a settled fleet while `proposer` proposes.
Figures measure(ProcessFleet& fleet, const TierCase& given, CertificateProposer& proposer) {
  const std::string leader = fleet.leader()->name;
  const auto ports = fleet.session_ports();
  const auto before = fleet.usage(ports);
  const double seconds = fleet.run(given.seconds, [&] { proposer.propose_if_due(); });
  const auto after = fleet.usage(ports);
  CHECK(fleet.leader()->name == leader);  // otherwise figures of two leaders are mixed

  Figures figures;
  for (std::size_t i = 0; i < fleet.members().size(); ++i) {
    const std::string role = role_of(fleet.members()[i], leader);
    add_rates(figures, role, before[i], after[i], seconds);
  }
  print_figures(given, proposer.accepted() / seconds, seconds, figures);
  return figures;
}

// The number of records of each invoker, read once.
std::vector<std::size_t> records_of(ProcessFleet& fleet) {
  SessionReader reader(fleet);
  std::vector<std::size_t> out;
  for (const auto& session : reader.read(members_of(fleet, Kind::invoker)))
    out.push_back(session.records);
  return out;
}

// Milliseconds from a proposal until each invoker reports at least `records` records; invokers that do not in
// time are omitted.
std::vector<double> arrivals(ProcessFleet& fleet, double proposed_at, std::size_t records) {
  SessionReader reader(fleet);
  std::vector<double> out;
  auto waiting = members_of(fleet, Kind::invoker);
  while (!waiting.empty() && fleet.now() - proposed_at < kArrivalTimeout) {
    const auto sessions = reader.read(waiting);
    std::vector<const ProcessFleet::Member*> behind;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (sessions[i].records >= records) {
        out.push_back((sessions[i].at - proposed_at) * 1000);
      } else {
        behind.push_back(waiting[i]);
      }
    }
    waiting = behind;
    fleet.run(0);
  }
  return out;
}

// Times the propagation of changes from a control node's admin endpoint to all invokers' replicas.
std::vector<double> time_changes(ProcessFleet& fleet, const TierCase& given, CertificateProposer& proposer) {
  std::vector<double> out;
  std::size_t records = static_cast<std::size_t>(proposer.accepted()) + 1;  // the regime is a record as well
  for (int i = 0; i < kTimedChanges; ++i) {
    double proposed_at = fleet.now();
    while (!proposer.propose_if_due()) {
      fleet.run(0.005);
      proposed_at = fleet.now();
    }
    const auto arrived = arrivals(fleet, proposed_at, ++records);
    CHECK(arrived.size() == static_cast<std::size_t>(given.invokers));
    out.insert(out.end(), arrived.begin(), arrived.end());
  }
  CHECK(records == static_cast<std::size_t>(proposer.accepted()) + 1);
  for (const std::size_t count : records_of(fleet))
    CHECK(count == records);
  return out;
}

double interval() { return numbers_from_env("LOTUSYARD_SCALE_S", {30}).front(); }

TEST_CASE("control tier of processes at rest, by invokers", "[.][scale][tier-processes]") {
  std::map<std::pair<std::string, std::string>, Series> series;
  for (const double n : numbers_from_env("LOTUSYARD_INVOKERS", {3, 10, 30, 60, 100})) {
    const TierCase given = {"tier_processes", static_cast<int>(n), 0, 15, interval()};
    ProcessFleet fleet(shape_of(given));
    start(fleet, given);
    CertificateProposer nothing(fleet, fleet.members().front(), 0);
    for (const auto& [key, values] : measure(fleet, given, nothing))
      series[key].add(n, median(values));
  }
  for (const auto& [key, line] : series)
    print_fit({"tier_processes", 0, key.first, key.second, 0, {}}, "invokers", line, kTargetMembers);
}

TEST_CASE("control tier of processes with changes", "[.][scale][tier-changes]") {
  const TierCase given = {"tier_processes_changes", 30, kTargetChangesPerSecond, 15, interval()};
  ProcessFleet fleet(shape_of(given));
  start(fleet, given);
  CertificateProposer proposer(fleet, *members_of(fleet, Kind::control_node).front(), given.changes);
  measure(fleet, given, proposer);
  const auto delays = time_changes(fleet, given, proposer);
  const Figures figures = {{{"invoker", "change_arrives_ms"}, delays}};
  print_figures(given, kTargetChangesPerSecond, 0, figures);
}

TEST_CASE("three invokers with sessions at rest, short run", "[scale-short]") {
  const TierCase given = {"tier_processes_short", 3, 0, 1, 4};
  ProcessFleet fleet(shape_of(given));
  start(fleet, given);
  CertificateProposer nothing(fleet, fleet.members().front(), 0);
  const Figures figures = measure(fleet, given, nothing);
  const auto most = [&](const std::string& metric) {
    const auto& values = figures.at({"invoker", metric});
    return *std::max_element(values.begin(), values.end());
  };
  REQUIRE(figures.at({"invoker", "sent_bytes_s"}).size() == 3);
  const auto& sent = figures.at({"invoker", "session_sent_bytes_s"});
  CHECK(*std::min_element(sent.begin(), sent.end()) > 10);  // each one renews its lease
  CHECK(most("sent_bytes_s") < kMaxIdleBytesPerSecond);
  CHECK(most("received_bytes_s") < kMaxIdleBytesPerSecond);
  CHECK(most("descriptors") < kMaxDescriptors);
  CHECK(figures.at({"invoker", "sessions"}) == std::vector<double>(3, 1));
  CHECK(most("connections_ended") == 0);
}

}  // namespace
}  // namespace lotusyard::scale
