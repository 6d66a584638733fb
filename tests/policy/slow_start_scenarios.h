// The disturbances under which the slow-start budget is checked. Times are in milliseconds.
#pragma once

#include <algorithm>
#include <vector>

namespace lotusyard::policy::test {

constexpr double kSlowStartDuration = 8000;
constexpr double kSlowStartInitial = 0.25;
constexpr double kStart = 1600;  // when the hosts start
constexpr double kEnd = 6000;
constexpr double kStep = 4;
constexpr int kHosts = 6;
constexpr int kFunctions = 30;

enum class Disturbance {
  none,             // the host starts again under its id, and a delta says so
  process_restart,  // every process restarts 600 ms later; its full list says when the host started
  late_notice,      // the same, but that list lacks the start; a delta reports it 300 ms later
  more_processes,   // a reload: a third of the processes become all; the new ones have no state
  fewer_processes,  // a reload: all become a third; those that end continue for 300 ms
  full_lists,       // a full list every 250 ms
  stale_list,       // 500 ms after the start a cached list from before it; a full list 300 ms later
  second_start,     // the host starts once more half a window later
  mass_start,       // five of six hosts start at once
  small_host,       // the host has a quarter of the others' cores
  quiet_time,       // no call for 2.5 s after the start, then all at once
  overload,         // five of six hosts start at once, and four times as many calls arrive
};

struct Scenario {
  Disturbance disturbance;
  const char* name;
};

constexpr Scenario kScenarios[] = {
    {Disturbance::none, "one start"},
    {Disturbance::process_restart, "process restart"},
    {Disturbance::late_notice, "process restart, late notice"},
    {Disturbance::more_processes, "reload, a third to all"},
    {Disturbance::fewer_processes, "reload, all to a third"},
    {Disturbance::full_lists, "full list every 250 ms"},
    {Disturbance::stale_list, "stale cached list"},
    {Disturbance::second_start, "two starts in a window"},
    {Disturbance::mass_start, "five of six hosts start"},
    {Disturbance::small_host, "host of a quarter's size"},
    {Disturbance::quiet_time, "quiet time, then a burst"},
    {Disturbance::overload, "five of six start, 4 x calls"},
};

inline bool starts_many(Disturbance disturbance) {
  return disturbance == Disturbance::mass_start || disturbance == Disturbance::overload;
}

// The window, of any host, with the highest use of the budget: the calls of processes that had been notified
// of the start, and how many are allowed.
struct WorstWindow {
  int calls = 0;
  double allowed = 0;
  int total_calls = 0;  // over the complete run
  double used_fraction() const { return calls / std::max(allowed, 1.0); }
};

struct StartingHost {
  double started = kStart;
  double cores = 4;
  std::vector<double> calls_at{};  // times of calls since it started, of notified processes
};

}  // namespace lotusyard::policy::test
