// Incident of 2 December 2026, pre-production: 1,848 calls and 12 load orders went to draining hosts.
//
// What was seen: discovery was out of reach for all invokers for 14 s. Two busy hosts began to drain at
// second 3.64, just after the outage began, and stayed up. The first calls past the notice and its grace
// reached them 7.63 s and 7.66 s after that; they were turned away, and served elsewhere 1 ms later, until
// the outage ended. How it came about: an invoker that loses discovery kept the last list for as long as the
// outage lasted. That a host turns every call away only paused it there for some 60 ms. Cause: nothing in the
// invoker bounded the age of the endpoint list, while the drain counts as notified by a clock, whether it
// arrived or not. What proved it: this test fails without the bound, and shows calls at a steady pace until
// the list is back.
#include "outage/outage_scenarios.h"

namespace lotusyard::test::outage {
namespace {

TEST_CASE("hosts that drain while discovery is out of reach get nothing past the notice and its grace") {
  OutageRig rig;
  const IncidentRun run = play_incident(rig);
  // They were busy before they drained, or the test shows nothing.
  for (const std::size_t host : run.drained)
    CHECK(calls_served_by(rig.history, rig.hosts[host].id, 0, run.drained_at) > 5);
  check_rules(rig, Rules());
  // Other hosts were ready all the time.
  CHECK(served_share(rig.history, run.drained_at, rig.now()) > 0.99);
}

// A grace of zero switches the bound on the list's age off: what it prevents has to be found.
TEST_CASE("without a bound on the age of the list, the checker finds calls to draining hosts") {
  RigOptions options;
  options.adjust = [](nlohmann::json& file) { file["settings"]["Rules"]["DrainGrace"] = 0; };
  OutageRig rig(options);
  play_incident(rig);
  CHECK_FALSE(drain_violations(rig.history, Rules()).empty());
  CHECK(lost_calls(rig.history, Rules()) == std::vector<std::string>());
}

}  // namespace
}  // namespace lotusyard::test::outage
