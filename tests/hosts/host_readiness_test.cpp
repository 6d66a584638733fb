// Evaluation of a host's readiness by the age of the endpoint list and by the host's answers.
#include "hosts/host_readiness.h"

#include <catch2/catch.hpp>

#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using hosts::HostReadiness;
using hosts::Readiness;
using hosts::ReadinessRules;
using hosts::WithheldReason;

// The list is confirmed at 100,000 ms and valid for 3,800 ms; an answer is valid for 1,800 ms.
constexpr Millis kConfirmed{100000};

ReadinessRules rules_with(bool checks_hosts) {
  core::Settings s = settings();
  s.host_protocol.accepts_probes = checks_hosts;
  ReadinessRules rules;
  rules.set_terms(hosts::readiness_terms(s, Millis(1000)));
  rules.confirm_list(kConfirmed);
  return rules;
}

Readiness readiness(const ReadinessRules& rules, const HostReadiness& host, Millis now,
                    bool has_known_connection = true) {
  return rules.evaluate(host, has_known_connection, now).readiness;
}

TEST_CASE("a confirmed list is valid for the shortest notification delay and the grace, less a margin") {
  const ReadinessRules rules = rules_with(true);
  const HostReadiness host;
  CHECK(readiness(rules, host, kConfirmed + Millis(3800)) == Readiness::confirmed);
  CHECK(readiness(rules, host, kConfirmed + Millis(3801)) == Readiness::unconfirmed);
  CHECK_FALSE(rules.is_list_ageing(kConfirmed + Millis(1900)));
  CHECK(rules.is_list_ageing(kConfirmed + Millis(1901)));
}

// Discovery may have been unavailable for long when the invoker starts.
TEST_CASE("a list from the configuration is valid for the grace only") {
  ReadinessRules rules = rules_with(true);
  const Millis started = kConfirmed + Millis(60000);
  rules.confirm_configured_list(started);
  CHECK(readiness(rules, HostReadiness(), started + Millis(1800)) == Readiness::confirmed);
  CHECK(readiness(rules, HostReadiness(), started + Millis(1801)) == Readiness::unconfirmed);
  CHECK_FALSE(rules.is_same_process(HostReadiness(), started + Millis(1801)));
}

TEST_CASE("settings without a grace set no limit on the list's age") {
  core::Settings s = settings();
  s.endpoint_list.drain_grace = Millis(0);
  ReadinessRules rules;
  rules.set_terms(hosts::readiness_terms(s, Millis(1000)));
  CHECK(readiness(rules, HostReadiness(), Millis(1e12), false) == Readiness::confirmed);
  CHECK(rules.is_list_current(Millis(1e12)));
  CHECK(rules.is_same_process(HostReadiness(), Millis(1e12)));
}

TEST_CASE("a list that is confirmed rarely is valid for two of its intervals and the grace") {
  const auto terms = hosts::readiness_terms(settings(), Millis(10000));
  CHECK(terms.list_validity == Millis(21800));
  CHECK(terms.answer_validity == Millis(1800));
}

TEST_CASE("the margin takes at most half of a short grace") {
  core::Settings s = settings();
  s.endpoint_list.drain_grace = Millis(200);
  CHECK(hosts::readiness_terms(s, Millis(1000)).answer_validity == Millis(100));
}

TEST_CASE("with an expired list, a host is used for the grace after a request that it has accepted") {
  const ReadinessRules rules = rules_with(true);
  HostReadiness host;
  const Millis sent = kConfirmed + Millis(10000);
  host.record_accepted(sent);
  CHECK(readiness(rules, host, sent + Millis(1800)) == Readiness::confirmed);
  CHECK(readiness(rules, host, sent + Millis(1801)) == Readiness::unconfirmed);
}

TEST_CASE("with an expired list, a refusal invalidates earlier proof") {
  const ReadinessRules rules = rules_with(true);
  HostReadiness host;
  const Millis sent = kConfirmed + Millis(10000);
  host.record_accepted(sent);
  host.record_refused(sent + Millis(5));
  CHECK(readiness(rules, host, sent + Millis(6)) == Readiness::unconfirmed);
  host.record_accepted(sent + Millis(4));  // sent before the refusal
  CHECK(readiness(rules, host, sent + Millis(6)) == Readiness::unconfirmed);
  host.record_healthy(sent + Millis(6), sent + Millis(7));
  CHECK(readiness(rules, host, sent + Millis(8)) == Readiness::confirmed);
}

TEST_CASE("a host that reports itself unhealthy gets nothing until it reports itself healthy") {
  const ReadinessRules rules = rules_with(true);
  HostReadiness host;
  host.record_unhealthy(kConfirmed);
  const auto result = rules.evaluate(host, true, kConfirmed + Millis(1));
  CHECK(result.readiness == Readiness::withheld);
  CHECK(result.reason == WithheldReason::declared_draining);
  host.record_healthy(kConfirmed + Millis(2), kConfirmed + Millis(3));
  CHECK(readiness(rules, host, kConfirmed + Millis(4)) == Readiness::confirmed);
}

TEST_CASE("a host that does not answer a health check gets nothing for a while") {
  const ReadinessRules rules = rules_with(true);
  HostReadiness host;
  host.record_unresponsive(kConfirmed);
  CHECK(rules.evaluate(host, true, kConfirmed + Millis(999)).reason == WithheldReason::unresponsive);
  CHECK(readiness(rules, host, kConfirmed + Millis(1000)) == Readiness::confirmed);
}

TEST_CASE("with a current list, several refusals in a row require a health check") {
  const ReadinessRules rules = rules_with(true);
  HostReadiness host;
  host.record_accepted(kConfirmed);
  host.record_refused(kConfirmed + Millis(10));
  host.record_refused(kConfirmed + Millis(20));
  CHECK(readiness(rules, host, kConfirmed + Millis(30)) == Readiness::confirmed);
  host.record_refused(kConfirmed + Millis(30));
  CHECK(readiness(rules, host, kConfirmed + Millis(40)) == Readiness::unconfirmed);
  host.record_accepted(kConfirmed + Millis(41));
  CHECK(readiness(rules, host, kConfirmed + Millis(50)) == Readiness::confirmed);
  HostReadiness unused;  // one refusal is enough if the host has taken no call for long
  unused.record_refused(kConfirmed + Millis(10));
  CHECK(readiness(rules, unused, kConfirmed + Millis(20)) == Readiness::unconfirmed);
}

TEST_CASE("a connection made long after the last proof may lead to another process") {
  const ReadinessRules rules = rules_with(true);
  HostReadiness host;
  CHECK(rules.is_same_process(host, kConfirmed + Millis(3800)));
  CHECK_FALSE(rules.is_same_process(host, kConfirmed + Millis(3801)));
  const auto result = rules.evaluate(host, false, kConfirmed + Millis(3801));
  CHECK(result.readiness == Readiness::withheld);
  CHECK(result.reason == WithheldReason::list_too_old);
  host.record_accepted(kConfirmed + Millis(3000));
  CHECK(rules.is_same_process(host, kConfirmed + Millis(6800)));
}

TEST_CASE("without health checks, a served call is valid proof for the longest notification delay") {
  const ReadinessRules rules = rules_with(false);
  HostReadiness host;
  const Millis sent = kConfirmed + Millis(3000);
  host.record_accepted(sent);
  CHECK(readiness(rules, host, sent + Millis(7000)) == Readiness::confirmed);
  CHECK(rules.evaluate(host, true, sent + Millis(7001)).reason == WithheldReason::list_too_old);
  const Millis late = sent + Millis(4000);
  host.record_refused(late);
  host.record_refused(late);
  CHECK(readiness(rules, host, late) == Readiness::confirmed);  // it may be full
  host.record_refused(late);
  CHECK(rules.evaluate(host, true, late).reason == WithheldReason::refuses_calls);
}

}  // namespace
}  // namespace lotusyard::test
