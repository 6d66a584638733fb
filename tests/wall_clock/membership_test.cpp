// Hosts' starts, stamped by another clock than this process's: a host that has just started is cold, and none
// is cold for ever.
#include "catch2/catch.hpp"
#include "endpoints/endpoint_states.h"
#include "maintenance/drain_tracker.h"
#include "net/event_loop.h"
#include "wall_clock/stepped_clock.h"

namespace lotusyard::test {
namespace {

using core::HostState;
using endpoints::EndpointStates;

struct Listed {
  ManualClock clock;
  net::EventLoop loop{clock.clocks()};
  std::map<std::string, Millis> started;  // as the core believes
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

TEST_CASE("without a step hosts' starts are taken as they are stamped") {
  Listed l;
  l.list("first", Millis(0), true);
  l.list("late", l.clock.wall - Millis(4000));
  CHECK(l.started["first"] == Millis(0));
  CHECK(l.age("late") == Millis(4000));
  l.clock.pass(Millis(60000));
  l.list("late", l.clock.wall - Millis(1000));  // it has started anew
  CHECK(l.age("late") == Millis(1000));
}

TEST_CASE("a host that starts after a step of the wall clock is cold from when it is listed, and warms up") {
  Listed l;
  l.list("first", Millis(0), true);
  l.clock.pass(Millis(60000));
  l.clock.wall += GENERATE(Millis(7000), Millis(-7000), kHour, -1 * kHour);
  l.list("late", l.clock.wall - Millis(1000));
  CHECK(l.age("late") == Millis(0));
  l.clock.pass(Millis(10000));
  l.list("late", l.clock.wall - Millis(11000));  // told again
  CHECK(l.age("late") <= Millis(10000));
  CHECK(l.started["first"] == Millis(0));
}

TEST_CASE("a host that starts anew under a clock set back has started anew") {
  Listed l;
  l.list("h", l.clock.wall - Millis(1000), true);
  const Millis before = l.started["h"];
  l.clock.pass(Millis(60000));
  l.list("h", l.clock.wall - kHour);  // the host's clock was set back, not this one's
  CHECK(l.started["h"] > before);
  CHECK(l.age("h") == Millis(0));
}

TEST_CASE("a process whose clock is an hour behind takes no host for cold for an hour") {
  Listed l;
  l.list("h", l.clock.wall + kHour, true);
  CHECK(l.age("h") == Millis(0));
  l.clock.pass(Millis(30000));
  l.list("h", l.clock.wall + kHour - Millis(30000), true);
  CHECK(l.age("h") >= Millis(0));
}

TEST_CASE("a process whose clock is an hour ahead takes a host that comes anew for cold") {
  Listed l;
  l.list("first", Millis(0), true);
  l.clock.pass(Millis(60000));
  l.list("late", l.clock.wall - kHour);
  CHECK(l.age("late") == Millis(0));
}

TEST_CASE("a host out for a work that starts anew is seen to, also with a smaller stamp") {
  maintenance::MaintenanceState board;
  const maintenance::MaintenanceJob job{
      "w", {{"h", "", ""}}, {}, maintenance::MaintenanceJob::State::running};
  const maintenance::LogEntry add{maintenance::AddJob{job}, {}, {}};
  REQUIRE(board.apply(1, add, Millis(0)).done);
  auto out = board.snapshot();
  out["hosts"][0]["stage"] = static_cast<int>(maintenance::HostStage::out_of_service);
  REQUIRE(board.restore(out, Millis(0)));
  core::ListedHost host;
  host.entry.host = "h";
  host.entry.state = HostState::ready;
  host.entry.started = Millis(1e12);
  maintenance::DrainTracker leaving;
  leaving.update(board, true, {{"h", host}});
  CHECK(leaving.observe(board, {}, {{"h", host}}, {}, Millis(1)).restarted.empty());
  host.entry.started -= kHour;
  CHECK(leaving.observe(board, {}, {{"h", host}}, {}, Millis(1)).restarted.count("h") == 1);
}

}  // namespace
}  // namespace lotusyard::test
