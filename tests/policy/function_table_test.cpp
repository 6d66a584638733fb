// The bounds of the table of functions.
#include <gtest/gtest.h>

#include "policy/constants.h"
#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

constexpr double kSweepMs = 20;
// Functions of the tests; none is 1, the function of make_warm_invoker().
constexpr std::uint64_t kFirstFunction = 1000;

// A first call is sent to a host that may have an instance; a host without one answers that.
Settings settings_with_misses() {
  Settings settings = make_settings();
  settings.host_protocol.answers_misses = true;
  return settings;
}

void call_once(PolicyFixture& invoker, std::uint64_t function, Outcome outcome) {
  const std::size_t sent = invoker.sends.size();
  invoker.request("call" + std::to_string(sent), function, "unsafe");
  ASSERT_EQ(invoker.sends.size(), sent + 1);
  invoker.answer(invoker.sends.back(), outcome);
}

// Guards against: clients that call ever new names, which no host knows, use up the memory of the process.
TEST(FunctionTable, NamesThatNoHostConfirmsAreBoundedHoweverMany) {
  for (const Outcome outcome : {Outcome::error, Outcome::no_instance, Outcome::at_capacity, Outcome::reset}) {
    PolicyFixture invoker = make_warm_invoker(settings_with_misses());
    std::size_t largest = 0;
    for (std::uint64_t i = 0; i < kMaxUnconfirmedFunctions + 2000; ++i) {
      invoker.request(std::to_string(i), kFirstFunction + i, "unsafe", 100);
      if (!invoker.sends.empty() && invoker.sends.back().id == std::to_string(i))
        invoker.answer(invoker.sends.back(), outcome);
      if (i % 50 == 0)
        invoker.advance(kSweepMs);
      largest = std::max(largest, invoker.policy.function_table_size().functions);
    }
    EXPECT_LE(largest, kMaxUnconfirmedFunctions + 500) << static_cast<int>(outcome);
  }
}

// Guards against: a crowd of made-up names pushes out what is known of the functions of the usual clients.
TEST(FunctionTable, AConfirmedFunctionOutlastsACrowdOfOthers) {
  PolicyFixture invoker = make_warm_invoker(settings_with_misses());
  for (std::uint64_t i = 0; i < kMaxUnconfirmedFunctions + 2000; ++i) {
    call_once(invoker, kFirstFunction + i, Outcome::error);
    if (i % 200 == 0)
      invoker.advance(kSweepMs);
  }
  EXPECT_GT(invoker.policy.function_table_size().evicted, 0U);
  const std::size_t loads = invoker.loads.size();
  call_once(invoker, 1, Outcome::ok);
  EXPECT_EQ(invoker.sends.back().host, first_host(invoker));
  EXPECT_EQ(invoker.loads.size(), loads);
}

// Guards against: functions that hosts do have, but each called once, use up the memory of the process.
TEST(FunctionTable, ConfirmedFunctionsStayWithinTheirShareOfTheMemory) {
  constexpr std::uint64_t kFunctions = 1000;
  Settings settings = settings_with_misses();
  settings.function_table_bytes = 256U << 10;
  PolicyFixture invoker(settings);
  constexpr double kLongAgoMs = -60000;  // past slow start
  invoker.update_endpoints({host_entry("a", HostState::ready, kLongAgoMs)});
  for (std::uint64_t i = 0; i < kFunctions; ++i) {
    call_once(invoker, kFirstFunction + i, Outcome::ok);
    call_once(invoker, 1, Outcome::ok);
    invoker.advance(kSweepMs);
    ASSERT_LE(invoker.policy.function_table_size().bytes, settings.function_table_bytes);
  }
  EXPECT_GT(invoker.policy.function_table_size().functions, 200U);
  const std::size_t loads = invoker.loads.size();
  call_once(invoker, kFirstFunction + kFunctions - 1, Outcome::ok);  // the latest are kept
  call_once(invoker, 1, Outcome::ok);
  EXPECT_EQ(invoker.loads.size(), loads);
}

// Guards against: an eviction while a call is out leaves the call without its function.
TEST(FunctionTable, FunctionsWithOpenCallsAreNotEvicted) {
  Settings settings = settings_with_misses();
  settings.function_table_bytes = 1;
  PolicyFixture invoker(settings);
  invoker.update_endpoints(numbered_hosts(3));
  invoker.request("out", 7, "unsafe");
  ASSERT_EQ(invoker.sends.size(), 1U);
  invoker.advance(10 * kSweepMs);
  EXPECT_EQ(invoker.policy.function_table_size().functions, 1U);
  invoker.answer(invoker.sends[0], Outcome::ok);
  EXPECT_EQ(invoker.answered.count("out"), 1U);
  invoker.advance(2 * kSweepMs);
  EXPECT_EQ(invoker.policy.function_table_size().functions, 0U);
}

}  // namespace
}  // namespace lotusyard::policy::test
