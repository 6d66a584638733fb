// The delay before, and the broker of, the connection that replaces a lost one.
#include "amqp/reconnect_policy.h"

#include <catch2/catch.hpp>
#include <set>

namespace lotusyard::test {
namespace {

using amqp::CloseReason;
using amqp::Millis;
using amqp::ReconnectPlan;
using amqp::ReconnectPolicy;
using amqp::RetryAdvice;

constexpr std::uint64_t kSeeds = 20;
const ReconnectPolicy::Bounds kBounds;

CloseReason came_up_for(Millis duration) {
  CloseReason reason;
  reason.came_up = true;
  reason.up_for = duration;
  return reason;
}

TEST_CASE("each reply code has its retry advice") {
  CHECK(amqp::retry_advice(0) == RetryAdvice::soon);
  CHECK(amqp::retry_advice(320) == RetryAdvice::soon);
  CHECK(amqp::retry_advice(405) == RetryAdvice::later);
  CHECK(amqp::retry_advice(999) == RetryAdvice::later);
  for (const int code : {402, 403, 404, 406, 530, 540})
    CHECK(amqp::retry_advice(static_cast<std::uint16_t>(code)) == RetryAdvice::after_operator);
}

TEST_CASE("delays stay within bounds, grow, differ between invokers and rotate over the brokers") {
  std::set<double> delays;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    ReconnectPolicy policy({"a:1", "b:1", "c:1"}, seed);
    std::set<std::size_t> reached;
    Millis first_three{0}, last_three{0};
    for (int i = 0; i < 30; ++i) {
      const ReconnectPlan plan = policy.on_closed({});
      reached.insert(plan.broker);
      CHECK(plan.delay >= kBounds.initial_delay / 2);
      CHECK(plan.delay <= kBounds.max_delay);
      CHECK(plan.message.empty());
      if (i < 3)
        first_three += plan.delay;
      if (i >= 27)
        last_three += plan.delay;
      delays.insert(plan.delay.count());
    }
    CHECK(reached.size() == 3);
    CHECK(last_three > first_three * 5);
  }
  CHECK(delays.size() > 100);
}

TEST_CASE("a broker that was up for a while is tried again first and soon, unless it gave a reason") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    ReconnectPolicy policy({"a:1", "b:1", "c:1"}, seed);
    for (int i = 0; i < 30; ++i)
      policy.on_closed({});
    CHECK(policy.on_closed(came_up_for(kBounds.stable_after)).delay <= kBounds.initial_delay * 1.5);
    const std::size_t served = policy.broker();
    CloseReason forced = came_up_for(kBounds.stable_after);
    forced.code = 320;
    CHECK(policy.on_closed(forced).broker != served);
  }
}

TEST_CASE("a broker that ends each connection at once is tried with growing delays") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    ReconnectPolicy policy({"a:1"}, seed);
    Millis last{0};
    for (int i = 0; i < 12; ++i)
      last = policy.on_closed(came_up_for(Millis(5))).delay;
    CHECK(last >= kBounds.max_delay / 2);
  }
}

TEST_CASE("a connection that ends at the login names the password and is retried late") {
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    ReconnectPolicy policy({"a:1"}, seed);
    CloseReason at_login;
    at_login.at_login = true;
    const ReconnectPlan plan = policy.on_closed(at_login);
    CHECK(plan.delay >= kBounds.max_delay / 2);
    CHECK(plan.message.find("password") != std::string::npos);
  }
}

}  // namespace
}  // namespace lotusyard::test
