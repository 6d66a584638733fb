// Start times of hosts, stamped by a clock other than this process's: a host that has just started is cold,
// and no host stays cold for ever.
#include "catch2/catch.hpp"
#include "endpoints/endpoint_states.h"
#include "maintenance/drain_tracker.h"
#include "net/event_loop.h"
#include "wall_clock/stepped_clock.h"

namespace lotusyard::test {
namespace {

using core::HostState;
using endpoints::EndpointStates;

struct HostListFixture {
  ManualClock clock;
  net::EventLoop loop{clock.clocks()};
  std::map<std::string, Millis> started;  // as passed on to the core
  EndpointStates membership{[this](const core::HostListUpdate& list, core::ListKind) {
                              for (const auto& m : list.hosts)
                                started[m.entry.host] = m.entry.started;
                            },
                            [this] {
                              return EndpointStates::ClockReading{loop.now(), loop.wall_has_stepped()};
                            }};
  void list(const std::string& id, Millis stamp, bool complete = false) {
    core::ListedHost member;
    member.entry.host = id;
    member.entry.state = HostState::ready;
    member.entry.started = stamp;
    membership.apply_list({complete, {member}}, complete ? core::ListKind::full : core::ListKind::delta);
  }
  Millis age(const std::string& id) { return loop.now() - started.at(id); }
};

TEST_CASE("without a step, hosts' start times are accepted as stamped") {
  HostListFixture l;
  l.list("first", Millis(0), true);
  l.list("late", l.clock.wall - Millis(4000));
  CHECK(l.started["first"] == Millis(0));
  CHECK(l.age("late") == Millis(4000));
  l.clock.advance(Millis(60000));
  l.list("late", l.clock.wall - Millis(1000));  // it has restarted
  CHECK(l.age("late") == Millis(1000));
}

TEST_CASE("a host that starts after a step of the wall clock is cold from when it is listed, and warms up") {
  HostListFixture l;
  l.list("first", Millis(0), true);
  l.clock.advance(Millis(60000));
  l.clock.wall += GENERATE(Millis(7000), Millis(-7000), kHour, -1 * kHour);
  l.list("late", l.clock.wall - Millis(1000));
  CHECK(l.age("late") == Millis(0));
  l.clock.advance(Millis(10000));
  l.list("late", l.clock.wall - Millis(11000));  // listed again
  CHECK(l.age("late") <= Millis(10000));
  CHECK(l.started["first"] == Millis(0));
}

TEST_CASE("a host that restarts under a clock set back counts as restarted") {
  HostListFixture l;
  l.list("h", l.clock.wall - Millis(1000), true);
  const Millis before = l.started["h"];
  l.clock.advance(Millis(60000));
  l.list("h", l.clock.wall - kHour);  // the host's clock was set back, not this one's
  CHECK(l.started["h"] > before);
  CHECK(l.age("h") == Millis(0));
}

TEST_CASE("a process whose clock is an hour behind does not treat a host as cold for an hour") {
  HostListFixture l;
  l.list("h", l.clock.wall + kHour, true);
  CHECK(l.age("h") == Millis(0));
  l.clock.advance(Millis(30000));
  l.list("h", l.clock.wall + kHour - Millis(30000), true);
  CHECK(l.age("h") >= Millis(0));
}

TEST_CASE("a process whose clock is an hour ahead treats a newly listed host as cold") {
  HostListFixture l;
  l.list("first", Millis(0), true);
  l.clock.advance(Millis(60000));
  l.list("late", l.clock.wall - kHour);
  CHECK(l.age("late") == Millis(0));
}

TEST_CASE("a restart of a host that is out for a maintenance job is detected, also with a smaller stamp") {
  maintenance::MaintenanceState state;
  const maintenance::MaintenanceJob job{
      "w", {{"h", "", ""}}, {}, maintenance::MaintenanceJob::State::running};
  const maintenance::LogEntry add{maintenance::AddJob{job}, {}, {}};
  REQUIRE(state.apply(1, add, Millis(0)).done);
  auto out = state.snapshot();
  out["hosts"][0]["stage"] = static_cast<int>(maintenance::HostStage::out_of_service);
  REQUIRE(state.restore(out, Millis(0)));
  core::ListedHost host;
  host.entry.host = "h";
  host.entry.state = HostState::ready;
  host.entry.started = Millis(1e12);
  maintenance::DrainTracker tracker;
  tracker.update(state, true, {{"h", host}});
  CHECK(tracker.observe(state, {}, {{"h", host}}, {}, Millis(1)).restarted.empty());
  host.entry.started -= kHour;
  CHECK(tracker.observe(state, {}, {{"h", host}}, {}, Millis(1)).restarted.count("h") == 1);
}

}  // namespace
}  // namespace lotusyard::test
