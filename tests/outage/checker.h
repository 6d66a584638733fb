// Checks the recorded history of a run against the rules. Independent of the invoker's code.
#pragma once

#include <string>
#include <vector>

#include "outage/history.h"

namespace lotusyard::test::outage {

// The time at which a change that was published during an outage counts as notified.
enum class NotificationClock {
  per_event,  // `notification_delay` after the change itself
  per_outage  // `notification_delay` after the start of the outage, and at once from then on (stricter)
};

struct Rules {
  double drain_grace = 2000;
  double slack = 50;  // added to every time limit, for the time that sockets take
  double answer_grace = 16;
  double notification_delay = 7000;
  NotificationClock clock = NotificationClock::per_event;
  // Slow start: in any window, a cold host may get `cold_factor` times its current fraction of the calls that
  // a warm host gets.
  double cold_duration = 0;  // 0: not checked
  double cold_initial = 0.25;
  double cold_factor = 2;
  double cold_window = 1000;
};

// Each function returns a line for each violation.

// Calls and load orders that reached a host after its drain was notified and the grace had passed.
std::vector<std::string> drain_violations(const History& history, const Rules& rules);
// Calls that did not get exactly one answer in time.
std::vector<std::string> lost_calls(const History& history, const Rules& rules);
// Non-idempotent calls that ran more than once.
std::vector<std::string> duplicate_runs(const History& history);
// Cold hosts that got more than slow start allows.
std::vector<std::string> slow_start_violations(const History& history, const Rules& rules);
// All violations.
std::vector<std::string> violations(const History& history, const Rules& rules);

// The fraction of the calls sent in [from, to) that were served; 1 if there were none.
double served_share(const History& history, double from, double to);
// The number of calls that the host ran in [from, to).
int calls_served_by(const History& history, const std::string& host, double from, double to);

}  // namespace lotusyard::test::outage
