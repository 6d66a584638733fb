// Timestamps and expirations of AMQP messages, under a wall clock that is set while the process runs.
#include "amqp/message_times.h"
#include "support/amqp_fixture.h"
#include "wall_clock/stepped_clock.h"

namespace lotusyard::test {
namespace {

using amqp::age_at_most;
using amqp::time_left;

core::Settings keyed_checks() {
  core::Settings out = settings();
  out.classes[0].semantics = lotusyard::policy::Semantics::idempotent_with_key;
  out.classes[0].key_window = Millis(15000);
  return out;
}

struct AmqpClockFixture {
  SteppedClock clock;
  AmqpFixture amqp;
  explicit AmqpClockFixture(Millis at_start = Millis(0), const core::Settings& s = settings())
      : clock{at_start}, amqp(1, 1, {}, s, nullptr, {}, {}, clock.clocks()) {}

  // The result word of the answer to a `bin-check` call published at `published`.
  std::string check(const std::string& id, Millis published, const std::string& expiration,
                    bool redelivered = false) {
    StandInBroker::Message m;
    m.properties.message_id = id;
    m.properties.correlation_id = "c-" + id;
    m.properties.reply_to = "answers";
    m.properties.timestamp = static_cast<std::uint64_t>(published.count() / 1000);
    m.properties.expiration = expiration;
    m.properties.headers = {{"class", std::string("bin-check")}, {"lookup", std::string("00000000000000a1")}};
    m.redelivered = redelivered;
    amqp.broker.enqueue(std::move(m));
    REQUIRE(amqp.wait_for_answer(id));
    return result_word(amqp.broker.answers_by_id["c-" + id][0]);
  }
};

TEST_CASE("after a step of the wall clock calls that have not expired are accepted, and old ones rejected") {
  AmqpClockFixture fixture;
  CHECK(fixture.check("before", fixture.clock.wall(), "5000") == "OK");
  fixture.clock.step = GENERATE(Millis(7000), Millis(-7000), kHour, -1 * kHour);
  CHECK(fixture.check("after", fixture.clock.wall(), "5000") == "OK");
  CHECK(fixture.check("old", fixture.clock.wall() - Millis(20000), "5000") == "BUSY");
}

TEST_CASE("a clock that was wrong at the start causes no rejections once it is corrected") {
  AmqpClockFixture fixture(GENERATE(Millis(kHour), -1 * kHour));
  fixture.clock.step = Millis(0);
  CHECK(fixture.check("right", fixture.clock.wall(), "5000") == "OK");
}

TEST_CASE("a call stamped in the future waits no longer than its expiration") {
  amqp::Properties p;
  p.timestamp = 1000;
  p.expiration = "5000";
  const auto at = [](double now) { return net::WallTime{Millis(now), Millis(now), Millis(now)}; };
  CHECK(*time_left(p, at(1000e3 - 3600e3)) == Millis(5000));
  CHECK(*time_left(p, at(1003e3)) == Millis(3000));
  CHECK(time_left(p, at(1000e3 + 3600e3))->count() < 0);
}

TEST_CASE("a keyed call stamped in the future does not run again: its window may be over") {
  // The process starts under a clock that has been set back; the call is 16 s old, and the window 15 s.
  AmqpClockFixture fixture(-1 * kHour, keyed_checks());
  const Millis published = fixture.clock.wall() + kHour - Millis(16000);
  CHECK(fixture.check("old", published, "", true) == "FAILED");
  CHECK(fixture.amqp.invoker.host[0]->execs == 0);
}

TEST_CASE("a keyed call published before its clock was set back does not run again after its window") {
  AmqpClockFixture fixture(Millis(0), keyed_checks());
  REQUIRE(fixture.amqp.invoker.run_until([&] { return fixture.amqp.broker.server.peers.size() == 1; }));
  const Millis published = fixture.clock.wall() - kHour - Millis(5000);
  fixture.clock.step = -1 * kHour;  // by the clock it is now 5 s old
  CHECK(fixture.check("old", published, "", true) == "FAILED");
  CHECK(fixture.amqp.invoker.host[0]->execs == 0);
}

TEST_CASE("keyed calls run again once a step is older than its size and the window") {
  constexpr Millis kWindow{15000};
  ManualClock clock;
  net::EventLoop loop(clock.clocks());
  const auto age_of = [&](Millis published) {
    amqp::Properties p;
    p.timestamp = static_cast<std::uint64_t>(published.count() / 1000);
    return age_at_most(p, loop.wall_time(kWindow));
  };
  const Millis step = GENERATE(Millis(kHour), -1 * kHour);
  clock.wall += step;
  const auto uncertain = age_of(clock.wall);
  CHECK((!uncertain || *uncertain >= kWindow));
  clock.advance(kHour + kWindow);
  REQUIRE(age_of(clock.wall - Millis(5000)).has_value());
  CHECK(*age_of(clock.wall - Millis(5000)) < kWindow);
}

}  // namespace
}  // namespace lotusyard::test
