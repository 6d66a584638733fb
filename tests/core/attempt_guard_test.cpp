// Each rule of AttemptGuard.
#include "core/attempt_guard.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

class NoFrontEnd final : public core::FrontEnd {
  void answer(core::CallId, core::Answer&&) override {}
};

// An admitted call without attempts, the hosts a1 and a2 in zone a, and the host b1 in zone b.
struct GuardFixture {
  explicit GuardFixture(const std::string& class_name, const core::Settings& settings = guard_settings())
      : open(1, make_call(class_name), front_end, std::make_shared<const core::Settings>(settings)) {
    core::HostList list;
    for (const std::string host : {"a1", "a2", "b1"}) {
      list.entries.emplace_back();
      list.entries.back().host = host;
      list.entries.back().zone = host.substr(0, 1);
    }
    host_locations.apply(list);
    if (open.needs_key())
      REQUIRE(keys.begin(open.call(), core::key_rule(open.call_class()), now) ==
              core::IdempotencyKeys::KeyDecision::accepted);
  }

  static core::Settings guard_settings() {
    core::Settings settings = keyed_settings(Millis(5000));
    settings.classes[2].scope = policy::KeyScope::zone;
    return settings;
  }
  static core::Call make_call(const std::string& class_name) {
    core::Call call;
    call.class_name = class_name;
    call.key = class_name == "booking" ? "k" : "";
    call.timeout = Millis(1000);
    return call;
  }

  bool allows(const std::string& host, Millis attempt_timeout = Millis(100)) const {
    return guard.allows(open, host, attempt_timeout, now);
  }
  core::Attempt send(const std::string& host) {
    const core::Attempt attempt = open.allocate_attempt();
    open.add_in_flight({attempt, host, now});
    if (open.needs_key())
      keys.record_send(open.call(), attempt, *host_locations.find(host), now);
    return attempt;
  }
  void send_and_end(const std::string& host, core::Outcome outcome) {
    REQUIRE(open.remove_in_flight(send(host).number, outcome).has_value());
  }

  NoFrontEnd front_end;
  Millis now{1};
  core::OpenCall open;
  core::IdempotencyKeys keys;
  core::HostLocations host_locations;
  core::AttemptGuard guard{keys, host_locations};
};

TEST_CASE("a hedged request is allowed at another host only, and a third attempt in flight not at all") {
  GuardFixture fixture("bin-check");
  CHECK(fixture.allows("a1"));
  fixture.send("a1");
  CHECK_FALSE(fixture.allows("a1"));
  CHECK(fixture.allows("a2"));
  fixture.send("a2");
  CHECK_FALSE(fixture.allows("b1"));
}

TEST_CASE("no second attempt is in flight if the settings do not allow hedged requests") {
  core::Settings no_hedging = GuardFixture::guard_settings();
  no_hedging.retries.hedged_requests = false;
  GuardFixture fixture("bin-check", no_hedging);
  fixture.send("a1");
  CHECK_FALSE(fixture.allows("a2"));
}

TEST_CASE("attempts are limited in number, also those that never ran") {
  GuardFixture fixture("bin-check");
  for (int sent = 0; sent < 3; ++sent) {
    CHECK(fixture.allows("a1"));
    fixture.send_and_end("a1", core::Outcome::never_ran);
  }
  CHECK_FALSE(fixture.allows("a1"));
}

TEST_CASE("an attempt with less than a millisecond left is not allowed") {
  const GuardFixture fixture("bin-check");
  CHECK(fixture.allows("a1", Millis(1)));
  CHECK_FALSE(fixture.allows("a1", Millis(0.9)));
}

TEST_CASE("a non-idempotent call is retried only after attempts that never ran") {
  GuardFixture fixture("bin-record");
  fixture.send_and_end("a1", core::Outcome::connect_failed);
  CHECK(fixture.allows("a2"));
  SECTION("none is sent beside another one") {
    fixture.send("a2");
    CHECK_FALSE(fixture.allows("b1"));
  }
  SECTION("none is sent after one that may have run") {
    fixture.send_and_end("a2", core::Outcome::reset);
    CHECK_FALSE(fixture.allows("b1"));
  }
}

TEST_CASE("a call with a key is retried only at listed hosts that recognise the key, and within its window") {
  GuardFixture fixture("booking");
  CHECK_FALSE(fixture.allows("unlisted"));
  fixture.send_and_end("a1", core::Outcome::reset);
  CHECK(fixture.allows("a2"));
  CHECK_FALSE(fixture.allows("b1"));
  fixture.now += Millis(5000);
  CHECK_FALSE(fixture.allows("a2"));
}

}  // namespace
}  // namespace lotusyard::test
