// Each way in which discovery can fail, with two busy hosts that drain just after the outage began.
#include "outage/outage_scenarios.h"

namespace lotusyard::test::outage {
namespace {

// Two busy hosts drain in an outage of this form; the other four continue to serve.
void check_form(OutageForm form, const Rules& rules, Millis duration = Millis(6500)) {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  const double before = harness.now();
  harness.begin_outage(form);
  harness.run_for(Millis(300));
  harness.drain(harness.busiest(2));
  harness.run_for(duration);
  const double after = harness.now();
  harness.end_outage();
  check_recovery(harness);
  harness.finish_calls();
  check_rules(harness, rules);
  CHECK(served_share(harness.history, before, after) > 0.98);
}

TEST_CASE("a drain while discovery refuses connections") { check_form(OutageForm::refused, strict_rules()); }

TEST_CASE("a drain while discovery resets each connection") {
  check_form(OutageForm::reset_at_once, strict_rules());
}

TEST_CASE("a drain while discovery is connected and silent") {
  check_form(OutageForm::silent, strict_rules());
}

TEST_CASE("a drain while discovery has stopped within an event") {
  check_form(OutageForm::broken_event, strict_rules());
}

TEST_CASE("a drain while discovery sends an event byte by byte") {
  check_form(OutageForm::trickle, strict_rules());
}

TEST_CASE("a drain while discovery's heartbeats name events that are never sent") {
  check_form(OutageForm::gap, strict_rules());
}

TEST_CASE("a drain while discovery sends garbage") { check_form(OutageForm::garbage, strict_rules()); }

TEST_CASE("a drain while discovery answers only after the subscription has timed out") {
  check_form(OutageForm::slow_answer, strict_rules());
}

// Only the hosts' own answers show the drain here, so the notification delay counts from the event itself.
TEST_CASE("a drain while discovery's heartbeats continue and its events are withheld") {
  check_form(OutageForm::withheld, Rules{kShortGrace}, Millis(14000));
}

}  // namespace
}  // namespace lotusyard::test::outage
