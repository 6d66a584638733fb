// The replicated state of maintenance: stages of hosts, bounds of jobs, rejected proposals, snapshots.
#include "maintenance/maintenance_state.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "maintenance/maintenance_entries.h"
#include "maintenance/simulated_group.h"
#include "support/random_input.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a host passes through its stages in order, and the bounds apply to every proposal") {
  StateFixture fixture;
  REQUIRE(fixture.apply(join("a", 1)).done);
  fixture.heartbeat();
  REQUIRE(fixture.apply(add_job(make_job(6, 2))).done);
  CHECK(fixture.apply(transition<maintenance::StartDrain>("h0", 0)).why == "host: h0 is waiting");
  REQUIRE(fixture.apply(select_hosts({"h0", "h1", "h2", "h3", "h4", "h5"})).done);
  const std::uint64_t selected_at = fixture.index;
  CHECK(fixture.state.budget().hosts_in_progress() == 5);  // half of the ten listed hosts must stay usable
  CHECK_THAT(fixture.apply(transition<maintenance::StartDrain>("h0", selected_at)).why,
             Catch::Contains("member a does not know"));
  fixture.heartbeat();
  CHECK(fixture.apply(transition<maintenance::StartDrain>("h0", selected_at - 1)).why == "host: h0 is named");
  REQUIRE(fixture.apply(transition<maintenance::StartDrain>("h0", selected_at)).done);
  const std::uint64_t drained_at = fixture.index;
  CHECK(fixture.state.hosts_to_avoid(true) == std::set<std::string>{"h0"});
  CHECK(fixture.state.hosts_to_avoid(false).size() == 5);
  REQUIRE(fixture.apply(transition<maintenance::StartDrain>("h1", selected_at)).done);
  CHECK_THAT(fixture.apply(transition<maintenance::StartDrain>("h2", selected_at)).why,
             Catch::Contains("2 hosts may be out"));
  CHECK(fixture.apply(transition<maintenance::ReturnToService>("h0")).why == "host: h0 is leaving");
  REQUIRE(fixture.apply(transition<maintenance::ReleaseToOperators>("h0", drained_at)).done);
  CHECK(fixture.apply(transition<maintenance::ReleaseToOperators>("h0", drained_at)).why ==
        "host: h0 is out");
  REQUIRE(fixture.apply(transition<maintenance::ReturnToService>("h0")).done);
  CHECK_THAT(fixture.apply(transition<maintenance::StartDrain>("h2", selected_at)).why,
             Catch::Contains("2 hosts may be out"));  // h0 is in slow start
  REQUIRE(fixture.apply(transition<maintenance::Complete>("h0")).done);
  REQUIRE(fixture.apply(transition<maintenance::StartDrain>("h2", selected_at)).done);
}

TEST_CASE("bounds apply to all jobs together and per zone, and paused jobs drain no host") {
  StateFixture fixture;
  fixture.apply(join("a", 1));
  fixture.heartbeat();
  MaintenanceJob first = make_job(4, 3);
  MaintenanceJob second = make_job(4, 3);
  first.bounds.max_out_per_zone = 1;
  second.id = "v";
  for (auto& host : second.hosts)
    host.id = "k" + host.id;
  second.bounds.max_out = 2;
  REQUIRE(fixture.apply(add_job(first)).done);
  REQUIRE(fixture.apply(add_job(second)).done);
  CHECK_THAT(fixture.apply(add_job(first)).why, Catch::Contains("there is a work w already"));
  first.id = "u";
  CHECK_THAT(fixture.apply(add_job(first)).why, Catch::Contains("h0 is in work w"));
  fixture.apply(select_hosts({"h0", "h1", "h2", "kh0", "kh1"}));
  const std::uint64_t selected_at = fixture.index;
  fixture.heartbeat();
  REQUIRE(fixture.apply(transition<maintenance::StartDrain>("h0", selected_at)).done);
  CHECK_THAT(fixture.apply(transition<maintenance::StartDrain>("h2", selected_at)).why,
             Catch::Contains("of zone east"));
  CHECK_THAT(fixture.apply(transition<maintenance::StartDrain>("kh0", selected_at)).why,
             Catch::Contains("of zone east"));  // the other job's bound
  maintenance::ChangeJobState change;
  change.job = "v";
  change.state = MaintenanceJob::State::paused;
  REQUIRE(fixture.apply({change, {}, {}}).done);
  CHECK(fixture.apply(transition<maintenance::StartDrain>("kh1", selected_at)).why == "work: v is paused");
  change.state = MaintenanceJob::State::running;
  REQUIRE(fixture.apply({change, {}, {}}).done);
  REQUIRE(fixture.apply(transition<maintenance::StartDrain>("kh1", selected_at)).done);
  CHECK_THAT(fixture.apply(transition<maintenance::StartDrain>("h1", selected_at)).why,
             Catch::Contains("of zone west may be out at once by work w"));
  change.job = "w";
  change.state = MaintenanceJob::State::cancelled;
  REQUIRE(fixture.apply({change, {}, {}}).done);  // h0 was not released yet: it is used again
  CHECK(fixture.state.hosts_to_avoid(true) == std::set<std::string>{"kh1"});
  change.state = MaintenanceJob::State::running;
  CHECK(fixture.apply({change, {}, {}}).why == "work: w is cancelled");
}

TEST_CASE("a job that can never be done is rejected with the key at fault") {
  StateFixture fixture;
  fixture.apply(join("a", 1));
  fixture.heartbeat();
  CHECK_THAT(fixture.apply(add_job(make_job(2, 3))).why, Catch::StartsWith("out: "));
  CHECK_THAT(fixture.apply(add_job(make_job(4, 1, 0.95))).why, Catch::StartsWith("usable: "));
  const auto rejection = [](const char* text) {
    try {
      maintenance::parse_job(nlohmann::json::parse(text));
    } catch (const std::invalid_argument& error) {
      return std::string(error.what());
    }
    return std::string("taken");
  };
  CHECK_THAT(rejection(R"({"id":"w","hosts":[["h","z","k"]],"bounds":{"out":0}})"),
             Catch::StartsWith("out: "));
  CHECK_THAT(rejection(R"({"id":"w","hosts":[["h","z","k"]],"bounds":{"usable":1.5}})"),
             Catch::StartsWith("usable: "));
  CHECK_THAT(rejection(R"({"id":"w","hosts":[]})"), Catch::StartsWith("hosts: "));
  CHECK_THAT(rejection(R"({"id":"w","hosts":[["h","",""],["h","",""]]})"),
             Catch::StartsWith("hosts: h stands twice"));
  CHECK_THAT(rejection(R"({"hosts":[["h","",""]]})"), Catch::StartsWith("id: "));
  CHECK(rejection(R"({"id":"w","hosts":[["h","z","k"]]})") == "taken");
}

TEST_CASE("a proposal that is sent twice is applied once, and its outcome can be queried") {
  StateFixture fixture;
  fixture.apply(join("a", 1));
  fixture.heartbeat();
  LogEntry add = add_job(make_job(4, 1));
  add.proposal = "p1";
  REQUIRE(fixture.apply(add).done);
  REQUIRE(fixture.apply(add).done);  // applied twice, it would be rejected because the job exists
  CHECK(fixture.state.jobs().size() == 1);
  REQUIRE(fixture.state.find_outcome("p1") != nullptr);
  for (int i = 0; i < 300; ++i) {
    LogEntry query;
    query.proposal = "q" + std::to_string(i);
    fixture.apply(query);
  }
  CHECK(fixture.state.find_outcome("p1") == nullptr);  // the table is bounded
  CHECK(fixture.state.find_outcome("q299") != nullptr);
}

TEST_CASE("a state is restored from its snapshot, and malformed snapshots are rejected") {
  SimulatedGroup group(5, 3, 8);
  group.run(2500);
  const MaintenanceState& before = group.newest_state();
  MaintenanceState after;
  REQUIRE(after.restore(before.snapshot(), Millis(5)));
  CHECK(after.snapshot() == before.snapshot());
  Random random(3);
  const std::string snapshot = before.snapshot().dump();
  for (int i = 0; i < 300; ++i) {
    std::string corrupt = snapshot;
    for (int byte = 0; byte < 3; ++byte)
      corrupt[below(random, corrupt.size())] = static_cast<char>(random());
    const auto parsed = nlohmann::json::parse(corrupt, nullptr, false);
    MaintenanceState other;
    if (!parsed.is_object() || !other.restore(parsed, Millis(0)))
      CHECK(other.jobs().empty());
    maintenance::parse_entry(corrupt);  // must not crash either
  }
}

}  // namespace
}  // namespace lotusyard::test
