// Which calls with an idempotency key may be sent again, where, and until when.
#include "core/idempotency_keys.h"

#include <catch2/catch.hpp>
#include <string>

namespace lotusyard::test {
namespace {

using core::IdempotencyKeys;
using core::Millis;
using policy::KeyScope;
using KeyDecision = core::IdempotencyKeys::KeyDecision;

core::Call call_with_key(const std::string& key, const std::string& body = "b",
                         Millis timeout = Millis(1000)) {
  core::Call call;
  call.class_name = "booking";
  call.key = key;
  call.function = 7;
  call.body = body;
  call.timeout = timeout;
  return call;
}

core::KeyRule rule(KeyScope scope = KeyScope::all) { return {scope, Millis(5000), Millis(1500)}; }

TEST_CASE("a key is valid if it can be passed on in a host's line unchanged") {
  for (const char* valid : {"5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "a", "~!#:;/"})
    CHECK(IdempotencyKeys::is_valid(valid));
  for (const std::string& invalid :
       {std::string(), std::string("a b"), std::string("a,b"), std::string("a=b"), std::string("a\r\n"),
        std::string("a\0", 2), std::string("\xC3\xA9"), std::string(129, 'a')}) {
    CHECK_FALSE(IdempotencyKeys::is_valid(invalid));
  }
}

TEST_CASE("a call with a key may be sent again until a window after its first attempt that may have run") {
  IdempotencyKeys keys;
  const auto call = call_with_key("k");
  REQUIRE(keys.begin(call, rule(), Millis(0)) == KeyDecision::accepted);
  CHECK(keys.may_send_to(call, rule(), {}, Millis(9000)));  // nothing has been sent
  keys.record_send(call, {1, 0}, {}, Millis(1000));
  keys.record_not_run(call, {1, 0});
  CHECK(keys.may_send_to(call, rule(), {}, Millis(9000)));
  keys.record_send(call, {1, 1}, {}, Millis(2000));
  keys.record_send(call, {1, 2}, {}, Millis(4000));
  CHECK(keys.may_send_to(call, rule(), {}, Millis(6999)));
  CHECK_FALSE(keys.may_send_to(call, rule(), {}, Millis(7000)));
  keys.end(call, rule(), Millis(6000));
  CHECK(keys.begin(call, rule(), Millis(6999)) == KeyDecision::accepted);  // the client's retry
  CHECK_FALSE(keys.may_send_to(call, rule(), {}, Millis(7001)));
  keys.end(call, rule(), Millis(7001));
  CHECK(keys.begin(call, rule(), Millis(8000)) == KeyDecision::window_over);
  CHECK(keys.begin(call_with_key("other"), rule(), Millis(14001)) == KeyDecision::accepted);
  CHECK(keys.size() == 1);  // the first was dropped when no client could retry it any more
}

TEST_CASE("within the scope of a zone or a cell, a call with a key is sent again only to hosts there") {
  for (const auto scope : {KeyScope::zone, KeyScope::cell}) {
    IdempotencyKeys keys;
    const auto call = call_with_key("k");
    REQUIRE(keys.begin(call, rule(scope), Millis(0)) == KeyDecision::accepted);
    CHECK(keys.may_send_to(call, rule(scope), {"z2", 4}, Millis(1)));
    keys.record_send(call, {1, 0}, {"z1", 3}, Millis(1));
    CHECK(keys.may_send_to(call, rule(scope), {"z1", 3}, Millis(2)));
    CHECK(keys.may_send_to(call, rule(scope), {"z1", 4}, Millis(2)) == (scope == KeyScope::zone));
    CHECK(keys.may_send_to(call, rule(scope), {"z2", 3}, Millis(2)) == (scope == KeyScope::cell));
    // An attempt may have run before a restart, at an unknown host.
    auto restarted = call_with_key("restarted");
    restarted.retry = true;
    REQUIRE(keys.begin(restarted, rule(scope), Millis(0)) == KeyDecision::accepted);
    CHECK_FALSE(keys.may_send_to(restarted, rule(scope), {"z1", 3}, Millis(2)));
  }
}

TEST_CASE("a key is rejected for another body or function, and is independent in another class") {
  IdempotencyKeys keys;
  REQUIRE(keys.begin(call_with_key("k"), rule(), Millis(0)) == KeyDecision::accepted);
  CHECK(keys.begin(call_with_key("k"), rule(), Millis(1)) == KeyDecision::accepted);  // both may be sent
  CHECK(keys.begin(call_with_key("k", "other"), rule(), Millis(1)) == KeyDecision::other_request);
  auto call = call_with_key("k");
  call.function = 8;
  CHECK(keys.begin(call, rule(), Millis(1)) == KeyDecision::other_request);
  call.class_name = "charge";
  CHECK(keys.begin(call, rule(), Millis(1)) == KeyDecision::accepted);
  CHECK(keys.size() == 2);
}

TEST_CASE(
    "the window of a client's retry with an unknown key begins when its first attempt can have been made") {
  IdempotencyKeys keys;
  auto call = call_with_key("k", "b", Millis(500));
  call.retry = true;  // 500 ms of 1500 are left: the first attempt was made up to a second ago
  REQUIRE(keys.begin(call, rule(), Millis(10000)) == KeyDecision::accepted);
  CHECK(keys.may_send_to(call, rule(), {}, Millis(13999)));
  CHECK_FALSE(keys.may_send_to(call, rule(), {}, Millis(14000)));
  auto late = call_with_key("late");
  late.may_have_run_since = Millis(5000);
  CHECK(keys.begin(late, rule(), Millis(10000)) == KeyDecision::window_over);
}

TEST_CASE("the number of keys and of attempts with a key is bounded, and known keys are retained") {
  IdempotencyKeys keys;
  for (std::size_t i = 0; i < IdempotencyKeys::kMaxKeys; ++i) {
    REQUIRE(keys.begin(call_with_key(std::to_string(i)), rule(), Millis(0)) == KeyDecision::accepted);
    keys.record_send(call_with_key(std::to_string(i)), {i, 0}, {}, Millis(0));
    keys.end(call_with_key(std::to_string(i)), rule(), Millis(0));
  }
  CHECK(keys.begin(call_with_key("one more"), rule(), Millis(1)) == KeyDecision::full);
  CHECK(keys.begin(call_with_key("5"), rule(), Millis(1)) == KeyDecision::accepted);
  keys.end(call_with_key("5"), rule(), Millis(1));
  CHECK(keys.begin(call_with_key("one more"), rule(), Millis(10000)) == KeyDecision::accepted);
  CHECK(keys.size() == 1);
  const auto same = call_with_key("same");
  for (std::uint64_t i = 0; i < 100; ++i) {
    if (keys.begin(same, rule(), Millis(10000)) != KeyDecision::accepted)
      break;
    if (keys.may_send_to(same, rule(), {}, Millis(10000)))
      keys.record_send(same, {i, 0}, {}, Millis(10000));
  }
  CHECK_FALSE(keys.may_send_to(same, rule(), {}, Millis(10000)));
}

// Sends an attempt of a call with the key that may have run, and ends the call.
KeyDecision call_once(IdempotencyKeys& keys, const std::string& key, std::uint64_t id, Millis now) {
  const auto call = call_with_key(key);
  const KeyDecision decision = keys.begin(call, rule(), now);
  if (decision != KeyDecision::accepted)
    return decision;
  keys.record_send(call, {id, 0}, {}, now);
  keys.end(call, rule(), now);
  return decision;
}

// Guards against: clients that call with ever new keys, or repeat each, use up the memory of the process.
TEST_CASE("the keys and the attempts of all calls together stay within their share of the memory") {
  constexpr std::size_t kMaxBytes = 256U << 10;
  constexpr std::size_t kBytesOfOneAttempt = 256;
  for (const std::size_t calls_per_key : {std::size_t{1}, IdempotencyKeys::kMaxSendsPerKey}) {
    IdempotencyKeys keys;
    keys.set_max_bytes(kMaxBytes);
    std::uint64_t id = 0;
    bool was_full = false;
    for (std::size_t key = 0; key < IdempotencyKeys::kMaxKeys; ++key) {
      for (std::size_t i = 0; i < calls_per_key; ++i)
        was_full |= call_once(keys, std::string(100, 'k') + std::to_string(key), ++id, Millis(0)) ==
                    KeyDecision::full;
      REQUIRE(keys.bytes() <= kMaxBytes + kBytesOfOneAttempt);
    }
    CHECK(was_full);
    CHECK(keys.size() > 100);
    // The memory is free again once hosts do not recognise the keys any more.
    CHECK(call_once(keys, "later", ++id, Millis(10000)) == KeyDecision::accepted);
    CHECK(keys.size() == 1);
    CHECK(keys.bytes() < 1000);
  }
}

// Guards against: a crowd of new keys takes the room that clients need for their retries.
TEST_CASE("retries with a known key are accepted when the memory for new keys is used up") {
  IdempotencyKeys keys;
  keys.set_max_bytes(64U << 10);
  std::uint64_t id = 0;
  REQUIRE(call_once(keys, "known", ++id, Millis(0)) == KeyDecision::accepted);
  while (call_once(keys, std::to_string(id), id + 1, Millis(0)) == KeyDecision::accepted)
    ++id;
  CHECK(call_once(keys, "new", ++id, Millis(1)) == KeyDecision::full);
  CHECK(call_once(keys, "known", ++id, Millis(1)) == KeyDecision::accepted);
}

// Guards against: the memory of a key that is called again is freed, and the key taken for a new one, early.
TEST_CASE("a key that is called again is retained from its latest attempt on") {
  IdempotencyKeys keys;
  REQUIRE(call_once(keys, "k", 1, Millis(0)) == KeyDecision::accepted);
  const auto call = call_with_key("k");
  REQUIRE(keys.begin(call, rule(), Millis(4000)) == KeyDecision::accepted);
  keys.record_send(call, {2, 0}, {}, Millis(4000));
  CHECK(call_once(keys, "other", 3, Millis(11000)) == KeyDecision::accepted);  // 2 windows after the first
  keys.end(call, rule(), Millis(11000));
  CHECK(keys.begin(call, rule(), Millis(13999)) == KeyDecision::window_over);
  CHECK(keys.begin(call, rule(), Millis(14000)) == KeyDecision::accepted);
}

}  // namespace
}  // namespace lotusyard::test
