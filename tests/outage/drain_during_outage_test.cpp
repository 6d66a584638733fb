// Guards against calls to draining hosts while discovery is unavailable. A drain counts as notified after a
// delay, whether or not the notification arrived. An invoker that loses discovery and does not bound the age
// of its endpoint list uses the last list until the outage ends: hosts that began to drain just after the
// outage began get calls past the notification delay and the grace (1,848 calls and 12 load orders in an
// outage of 14 s, from 7.63 s after the drain on). Refusals do not prevent it: a host that rejects every call
// is paused for only about 60 ms.
#include "outage/outage_scenarios.h"

namespace lotusyard::test::outage {
namespace {

TEST_CASE(
    "hosts that drain while discovery is unavailable get nothing past the notification delay and grace") {
  OutageHarness harness;
  const IncidentRun run = run_incident(harness);
  // The test shows something only if the hosts were busy before they drained.
  for (const std::size_t host : run.drained)
    CHECK(calls_served_by(harness.history, harness.hosts[host].id, 0, run.drained_at) > 5);
  check_rules(harness, Rules());
  // The other hosts were ready all the time.
  CHECK(served_share(harness.history, run.drained_at, harness.now()) > 0.99);
}

// A grace of zero disables the bound on the list's age, so the checker must find calls to draining hosts.
TEST_CASE("without a bound on the age of the list, the checker finds calls to draining hosts") {
  HarnessOptions options;
  options.adjust = [](nlohmann::json& file) { file["settings"]["Rules"]["DrainGrace"] = 0; };
  OutageHarness harness(options);
  run_incident(harness);
  CHECK_FALSE(drain_violations(harness.history, Rules()).empty());
  CHECK(lost_calls(harness.history, Rules()) == std::vector<std::string>());
}

}  // namespace
}  // namespace lotusyard::test::outage
