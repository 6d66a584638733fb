// The maintenance scheduler: the next step, its reason, and why a job waits.
#include "maintenance/maintenance_scheduler.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "maintenance/maintenance_entries.h"
#include "raft/lease.h"

namespace lotusyard::test {
namespace {

// The host of a transition; empty for all other commands.
std::string host_of(const maintenance::Command& command) {
  return std::visit(
      [](const auto& typed) {
        if constexpr (std::is_base_of_v<maintenance::HostTransition, std::decay_t<decltype(typed)>>)
          return typed.host;
        else
          return std::string();
      },
      command);
}

// A job over four hosts, with a pause of 5 s after each host, in a group of the members a and b.
class SchedulerFixture {
 public:
  SchedulerFixture() {
    state.apply(join("a", 1));
    state.apply(join("b", 1));
    MaintenanceJob job = make_job(4, 1);
    job.bounds.pause = Millis(5000);
    job.bounds.max_time_out = Millis(60000);
    state.apply(add_job(job));
  }
  // Both members have applied all entries; a reports these values of h0 and h1.
  void heartbeat_of_both(double value_of_h0, double value_of_h1, std::set<std::string> down = {},
                         double failed_per_second = 0) {
    maintenance::Heartbeat of_a = make_heartbeat("a", 1, state.index, 10);
    of_a.observations->serving_value = {{"h0", value_of_h0}, {"h1", value_of_h1}};
    of_a.observations->down = std::move(down);
    of_a.observations->calls_per_second = 100;
    of_a.observations->failed_per_second = failed_per_second;
    state.apply(record_heartbeats({of_a, make_heartbeat("b", 1, state.index, 10)}));
  }
  // Checks and applies the next step. Returns its reason.
  std::string take_step(const maintenance::Command& expected, const std::string& host) {
    const auto next = scheduler.next_entry(state.state, state.now);
    REQUIRE(next);
    CHECK(maintenance::name_of(next->command) == std::string(maintenance::name_of(expected)));
    CHECK(host_of(next->command) == host);
    REQUIRE(state.apply(*next).done);
    return next->reason;
  }
  // Whether no host can enter its next stage. Selections are applied and do not count.
  bool is_waiting() {
    auto next = scheduler.next_entry(state.state, state.now);
    while (next && maintenance::holds<maintenance::SelectHosts>(*next)) {
      state.apply(*next);
      next = scheduler.next_entry(state.state, state.now);
    }
    return !next;
  }
  std::string waiting_reason() const { return scheduler.waiting_reasons().at("w"); }

  StateFixture state;
  raft::LeaseTerms terms;
  maintenance::MaintenanceScheduler scheduler{terms};
};

void drain_first_host(SchedulerFixture& fixture) {
  fixture.heartbeat_of_both(3, 1);
  fixture.take_step(maintenance::SelectHosts{}, "");
  CHECK(fixture.is_waiting());
  CHECK_THAT(fixture.waiting_reason(), Catch::Contains("does not follow"));
  fixture.heartbeat_of_both(3, 1, {"h9"});
  CHECK(fixture.is_waiting());
  CHECK(fixture.waiting_reason() == "host h9 is down unasked, says a");
  fixture.heartbeat_of_both(3, 1, {}, 30);
  CHECK(fixture.is_waiting());
  CHECK_THAT(fixture.waiting_reason(), Catch::StartsWith("service falls: 30%"));
  fixture.heartbeat_of_both(3, 1);
  CHECK_THAT(fixture.take_step(maintenance::StartDrain{}, "h1"), Catch::Contains("costs least now: 1 "));
}

void release_first_host(SchedulerFixture& fixture) {
  fixture.heartbeat_of_both(3, 1);
  CHECK(fixture.is_waiting());
  CHECK_THAT(fixture.waiting_reason(), Catch::Contains("still used, or may be, by a, b"));
  maintenance::Heartbeat drained = make_heartbeat("a", 1, fixture.state.index, 10);
  drained.drained_hosts = {"h1"};
  fixture.state.apply(record_heartbeats({drained}));
  CHECK(fixture.is_waiting());
  // b sends no heartbeats, but may still hold its lease.
  fixture.state.now += fixture.terms.presumed_dead_after() - Millis(1);
  fixture.state.apply(record_heartbeats({drained}));
  CHECK(fixture.is_waiting());
  fixture.state.now += Millis(1);
  CHECK_THAT(fixture.take_step(maintenance::ReleaseToOperators{}, "h1"),
             Catch::Contains("leases have run out of b"));
}

void return_first_host(SchedulerFixture& fixture) {
  fixture.state.now += Millis(60001);
  fixture.heartbeat_of_both(3, 1);
  CHECK_THAT(fixture.take_step(maintenance::Overdue{}, "h1"), Catch::Contains("longer than 60 s"));
  CHECK(fixture.is_waiting());
  CHECK_THAT(fixture.waiting_reason(), Catch::Contains("h1"));
  REQUIRE(fixture.state.apply(transition<maintenance::ReturnToService>("h1")).done);
  CHECK(fixture.is_waiting());  // it has not served a call yet
  fixture.state.heartbeat({}, {"h1"});
  CHECK(fixture.take_step(maintenance::Complete{}, "h1") == "it has served a call of a");
}

void drain_second_host(SchedulerFixture& fixture) {
  fixture.heartbeat_of_both(3, 1);
  fixture.state.now += Millis(1000);
  CHECK(fixture.is_waiting());
  CHECK_THAT(fixture.waiting_reason(), Catch::StartsWith("a pause of 5 s"));
  fixture.state.now += Millis(4000);
  fixture.heartbeat_of_both(3, 1);
  fixture.take_step(maintenance::StartDrain{}, "h2");  // no calls are reported there
}

TEST_CASE("the scheduler gives its reasons, and waits for whatever blocks a job") {
  SchedulerFixture fixture;
  drain_first_host(fixture);
  release_first_host(fixture);
  return_first_host(fixture);
  drain_second_host(fixture);
}

}  // namespace
}  // namespace lotusyard::test
