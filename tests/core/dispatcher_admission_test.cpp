// Which calls are admitted: validation, and refs that are in use.
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <string>

#include "core/dispatcher_fixture.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

TEST_CASE("an invalid call, or one with the ref of another call, is not admitted") {
  core::Settings limited = settings();
  limited.tenants.push_back({"redgum-estate", 1, 100});
  limited.kind_memory_mb["std-2c"] = 3456;
  DispatcherFixture fixture(1, limited);
  int refs = 0;
  const auto admits = [&](const std::function<void(core::Call&)>& change) {
    core::Call call;
    call.ref = "r" + std::to_string(refs++);
    call.class_name = "bin-check";
    call.tenant = "redgum-estate";
    call.memory_mb = 300;
    call.timeout = Millis(1000);
    change(call);
    return !fixture.admit(std::move(call)).has_value();
  };
  CHECK(admits([](core::Call&) {}));
  CHECK(admits([](core::Call& call) { call.ref = "same"; }));
  CHECK_FALSE(admits([](core::Call& call) { call.ref = "same"; }));
  fixture.advance(Millis(1100));  // that call has ended, but a host may still answer it
  CHECK_FALSE(admits([](core::Call& call) { call.ref = "same"; }));
  CHECK_FALSE(admits([](core::Call& call) { call.class_name = "bin-chuck"; }));
  CHECK_FALSE(admits([](core::Call& call) { call.tenant = "nobody"; }));
  CHECK_FALSE(admits([](core::Call& call) { call.memory_mb = -1; }));
  CHECK_FALSE(admits([](core::Call& call) { call.memory_mb = 4000; }));
  CHECK_FALSE(admits([](core::Call& call) { call.memory_mb = std::nan(""); }));
  CHECK_FALSE(admits([](core::Call& call) { call.lanes = 0; }));
  CHECK_FALSE(admits([](core::Call& call) { call.lanes = 5000; }));
  CHECK_FALSE(admits([](core::Call& call) { call.timeout = Millis(0); }));
  CHECK_FALSE(admits([](core::Call& call) { call.timeout = Millis(1502); }));
  CHECK(admits([](core::Call& call) { call.tenant.clear(); }));
  CHECK(fixture.counters.value("calls.taken") == 3);
  CHECK(fixture.counters.value("calls.ref_repeated") == 2);
  CHECK(fixture.counters.value("calls.bad_figures") == 7);
}

// Guards against refs that expire only when another call ends: whether a repeat after the retention was
// admitted then depended on other calls.
TEST_CASE(
    "a ref is in use until the end of its retention and free afterwards, whether or not other calls end") {
  DispatcherFixture fixture(1);
  const std::string ref = "000000000000000a";
  const auto id = fixture.admit_call("bin-check", ref);
  fixture.end_attempts_of(id, core::Outcome::ok);
  REQUIRE(fixture.front_end.answers(id).size() == 1);
  const Millis ended_at = fixture.now;
  const auto admits_repeat_after = [&](Millis duration) {
    fixture.now = ended_at + duration;
    core::Call repeat;
    repeat.ref = ref;
    repeat.class_name = "bin-check";
    repeat.arrived = fixture.now;
    repeat.timeout = Millis(1000);
    return !fixture.admit(std::move(repeat)).has_value();
  };
  CHECK_FALSE(admits_repeat_after(Millis(1)));
  CHECK_FALSE(admits_repeat_after(Millis(10000)));
  CHECK(admits_repeat_after(Millis(10001)));
  CHECK(fixture.counters.value("calls.ref_repeated") == 2);
}

}  // namespace
}  // namespace lotusyard::test
