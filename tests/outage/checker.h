// Judges a run by its history alone. Includes nothing of the invoker.
#pragma once

#include <string>
#include <vector>

#include "outage/history.h"

namespace lotusyard::test::outage {

// When a change that was published during an outage counts as notified.
enum class NoticeClock {
  per_event,  // `notice` after the change itself
  per_outage  // `notice` after the outage began, and at once from then on: the stricter reading
};

struct Rules {
  double drain_grace = 2000;
  double slack = 50;  // every time limit is this much longer on sockets
  double answer_grace = 16;
  double notice = 7000;
  NoticeClock clock = NoticeClock::per_event;
  // Slow start: a cold host may get `factor` times its present part of what a warm host gets, in any window.
  double cold_duration = 0;  // 0: not checked
  double cold_initial = 0.25;
  double cold_factor = 2;
  double cold_window = 1000;
};

// Each function returns a line for each broken rule.
// Calls and load orders that reached a host after its drain was notified and the grace had passed.
std::vector<std::string> drain_violations(const History& history, const Rules& rules);
// Calls without exactly one answer in time.
std::vector<std::string> lost_calls(const History& history, const Rules& rules);
// Calls that may not be repeated and ran twice.
std::vector<std::string> duplicate_runs(const History& history);
// Cold hosts that got more than slow start allows.
std::vector<std::string> slow_start_violations(const History& history, const Rules& rules);
// All of them.
std::vector<std::string> violations(const History& history, const Rules& rules);

// The part of the calls sent in [from, to) that was served; 1 if there were none.
double served_share(const History& history, double from, double to);
// Calls that the host ran in [from, to).
int calls_served_by(const History& history, const std::string& host, double from, double to);

}  // namespace lotusyard::test::outage
