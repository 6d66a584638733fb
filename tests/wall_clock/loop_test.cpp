// Durations within one process: a step of the wall clock neither shortens nor lengthens them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "core/dispatcher.h"
#include "core/idempotency_keys.h"
#include "net/event_loop.h"
#include "raft/lease.h"
#include "support/invoker_fixture.h"
#include "support/stand_in_host.h"
#include "support/test_settings.h"
#include "wall_clock/stepped_clock.h"

namespace lotusyard::test {
namespace {

Millis any_step() { return GENERATE(Millis(7000), Millis(-7000), kHour, -1 * kHour); }

TEST_CASE("the event loop's time is continuous over a step of the wall clock") {
  ManualClock clock;
  net::EventLoop loop(clock.clocks());
  const Millis started = loop.now();
  CHECK(started == clock.wall);
  clock.wall += any_step();
  CHECK(loop.now() == started);
  clock.advance(Millis(250));
  loop.run_once(loop.now(), [] {});
  CHECK(loop.now() - started == Millis(250));
  CHECK(loop.iteration_started() == loop.now());
}

TEST_CASE("a timer fires after its duration in spite of a step of the wall clock") {
  ManualClock clock;
  net::EventLoop loop(clock.clocks());
  bool fired = false;
  loop.schedule_at(loop.now() + Millis(100), [&] { fired = true; });
  clock.wall += any_step();
  clock.advance(Millis(99));
  loop.run_once(loop.now(), [] {});
  CHECK_FALSE(fired);
  clock.advance(Millis(1));
  loop.run_once(loop.now(), [] {});
  CHECK(fired);
}

TEST_CASE("a step of the wall clock leaves a lease, the end of attempts and a key's window unchanged") {
  ManualClock clock;
  net::EventLoop loop(clock.clocks());
  const raft::LeaseTerms terms;
  raft::Lease lease(terms, loop.now());
  lease.renew(loop.now().count());
  core::IdempotencyKeys keys;
  core::Call call;
  call.key = "k";
  core::KeyRule rule;
  rule.window = Millis(3000);
  REQUIRE(keys.begin(call, rule, loop.now()) == core::IdempotencyKeys::KeyDecision::accepted);
  keys.record_send(call, {}, {}, loop.now());
  clock.wall += any_step();
  clock.advance(Millis(1999));
  CHECK(lease.is_held(loop.now()));
  CHECK_FALSE(lease.earlier_attempts_ended(loop.now()));
  CHECK(keys.may_send_to(call, rule, {}, loop.now()));
  clock.advance(Millis(1001));
  CHECK_FALSE(lease.is_held(loop.now()));
  CHECK(lease.earlier_attempts_ended(loop.now()));
  CHECK_FALSE(keys.may_send_to(call, rule, {}, loop.now()));
}

struct RecordingFrontEnd final : core::FrontEnd {
  explicit RecordingFrontEnd(net::EventLoop& loop) : loop_(loop) {}
  void answer(core::CallId, core::Answer&& answer) override {
    status = answer.status;
    answered_at = loop_.now();
  }
  std::optional<core::CallStatus> status;
  Millis answered_at{0};

 private:
  net::EventLoop& loop_;
};

TEST_CASE("a call is answered at its time-out in spite of a step of the wall clock") {
  SteppedClock clock;
  InvokerFixture fixture(1, settings(), InvokerFixture::limits(), clock.clocks());
  fixture.host[0]->handler = [](const std::string&) { return Reaction{Reaction::silence, ""}; };
  RecordingFrontEnd front(fixture.loop);
  core::Call call;
  call.ref = "00000000000000aa";
  call.class_name = "bin-record";
  call.function = 0xa1;
  call.function_name = "00000000000000a1";
  call.arrived = fixture.loop.now();
  call.timeout = Millis(400);
  const Millis arrived = call.arrived;
  REQUIRE_FALSE(
      fixture.dispatcher.admit(fixture.dispatcher.allocate_call_id(), std::move(call), front).has_value());
  REQUIRE(fixture.run_until([&] { return fixture.host[0]->execs == 1; }, 20000));
  clock.step = any_step();
  REQUIRE(fixture.run_until([&] { return front.status.has_value(); }, 20000));
  CHECK(front.answered_at - arrived >= Millis(300));
  CHECK(front.answered_at - arrived < Millis(600));
}

TEST_CASE("the wall time covers both settings of the clock until the size of the step has passed") {
  ManualClock clock;
  net::EventLoop loop(clock.clocks());
  const Millis step = any_step();
  const Millis before = clock.wall;
  clock.wall += step;
  auto wall = loop.wall_time();
  CHECK(wall.current == before + step);
  CHECK(wall.earliest == std::min(before, before + step));
  CHECK(wall.latest == std::max(before, before + step));
  CHECK(loop.wall_has_stepped());
  const Millis size = std::max(step, -1 * step);
  clock.advance(size);
  wall = loop.wall_time();
  CHECK((wall.earliest == clock.wall && wall.latest == clock.wall));
  CHECK(loop.wall_time(Millis(10)).latest - loop.wall_time(Millis(10)).earliest == size);
}

TEST_CASE("slewing is not a step, and doubt about the wall time ends") {
  ManualClock clock;
  net::EventLoop loop(clock.clocks());
  for (int i = 0; i < 1000; ++i) {
    clock.advance(Millis(100));
    clock.wall += Millis(0.05);
    loop.run_once(loop.now(), [] {});
  }
  CHECK_FALSE(loop.wall_has_stepped());
  CHECK(loop.wall_time().earliest == clock.wall);
  clock.wall += 24 * 365 * kHour;
  loop.record_wall_time(clock.wall + 24 * 365 * kHour);
  CHECK(loop.wall_time().latest - loop.wall_time().earliest > 24 * 700 * kHour);
  clock.advance(net::WallClock::kMaxDoubt);
  CHECK(loop.wall_time().earliest == clock.wall);
  CHECK(loop.wall_time().latest == clock.wall);
}

}  // namespace
}  // namespace lotusyard::test
