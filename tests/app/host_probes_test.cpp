// Health checks of connections on which calls wait.
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

// Regression: calls that waited for a load were silent, and each invoker sent a health check every 0.2 s:
// with 100 invokers more health checks than calls.
TEST_CASE("silent connections get few health checks, however many calls wait on them") {
  InvokerFixture fixture(12);
  for (auto& host : fixture.host)
    host->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  for (std::size_t i = 0; i < 24; ++i) {
    core::Call call;
    call.ref = net::hex16(i + 1);
    call.class_name = "bin-check";
    call.function_name = "00000000000000a1";
    fixture.host_pool.send_attempt({i + 1, 0}, "h" + std::to_string(i % 12), call, Millis(5000));
  }
  const Millis began = fixture.loop.now();
  fixture.run_until([&] { return fixture.loop.now() - began > Millis(1500); }, 20000);
  int attempts = 0;
  int health_checks = 0;
  for (const auto& host : fixture.host) {
    attempts += host->execs;
    health_checks += host->health_checks;
  }
  CHECK(attempts == 24);
  CHECK(health_checks >= 1);
  CHECK(health_checks <= 6);  // the initial budget, and one for twenty attempts
}

// One attempt is in flight at the first host for five seconds.
void start_attempt(InvokerFixture& fixture) {
  core::Call call;
  call.ref = net::hex16(1);
  call.class_name = "bin-check";
  call.function = 0xa1;
  call.function_name = "00000000000000a1";
  fixture.host_pool.send_attempt({1, 0}, "h0", call, Millis(5000));
}

// Regression: every connection on which a call waited for a load was checked by a probe that the settings
// forbid; the probe was not answered, and the connection was closed with all its calls.
TEST_CASE("a silent connection is checked only as the settings allow") {
  const auto probe =
      GENERATE(hosts::LivenessProbe::health, hosts::LivenessProbe::order, hosts::LivenessProbe::none);
  const bool mute = GENERATE(true, false);
  hosts::Limits limits = InvokerFixture::limits();
  limits.liveness = probe;
  InvokerFixture fixture(1, settings(), limits);
  auto& host = *fixture.host[0];
  host.ignores_checks = mute;
  host.handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  start_attempt(fixture);
  const Millis began = fixture.loop.now();
  fixture.run_until([&] { return fixture.loop.now() - began > Millis(1500); }, 20000);
  CHECK((host.health_checks > 0) == (probe == hosts::LivenessProbe::health));
  CHECK((host.instance_queries > 0) == (probe == hosts::LivenessProbe::order));
  CHECK(fixture.counters.value("hosts.silent_links") ==
        (mute && probe != hosts::LivenessProbe::none ? 1 : 0));
}

// Regression: where probes are not allowed, a silent connection to a draining host was checked by a load
// order, later than any may be sent there.
TEST_CASE("a silent connection to a draining host gets no load order, not even for 0 instances") {
  hosts::Limits limits = InvokerFixture::limits();
  limits.liveness = hosts::LivenessProbe::order;
  InvokerFixture fixture(1, settings(), limits);
  auto& host = *fixture.host[0];
  host.handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  start_attempt(fixture);
  REQUIRE(fixture.run_until([&] { return host.execs == 1; }, 2000));
  fixture.update_hosts(lotusyard::policy::HostState::draining);
  const Millis began = fixture.loop.now();
  fixture.run_until([&] { return fixture.loop.now() - began > Millis(1500); }, 20000);
  CHECK(host.instance_queries == 0);
  CHECK(fixture.counters.value("hosts.silent_links") == 0);
}

}  // namespace
}  // namespace lotusyard::test
