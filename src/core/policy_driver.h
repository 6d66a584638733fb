// The decision module behind a facade in blocking style: each call says what happened and returns what to do
// now, requests held till now included. The module's events and actions stay on this side.
#pragma once

#include <queue>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"

namespace lotusyard::core {

struct SendStep {
  CallId call = 0;
  std::string host;
  Millis attempt_timeout{0};
};
struct RejectStep {
  CallId call = 0;
  Millis retry_after{0};
};
struct FailStep {
  CallId call = 0;
};
struct CancelStep {
  Attempt attempt;
};
struct ProbeStep {
  std::string host;
};
struct LoadStep {
  std::string host;
  std::uint64_t function = 0;
  int copies = 0;
};
struct UnloadStep {
  std::string host;
  std::uint64_t function = 0;
};
using Step = std::variant<SendStep, RejectStep, FailStep, CancelStep, ProbeStep, LoadStep, UnloadStep>;
using Steps = std::vector<Step>;

// What can be reported.
struct AttemptOutcome {
  Attempt attempt;
  std::string host;
  Outcome outcome = Outcome::error;
  bool call_ended = false;  // the call has its final answer
  int host_concurrency = 0;
  Millis elapsed{0};
  Report report;
};
struct LoadOutcome {
  std::string host;
  std::uint64_t function = 0;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  int copies = 0;
};
struct ProbeOutcome {
  std::string host;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  Report report;
};
struct ClientDisconnected {
  CallId call = 0;
};
struct HostList {
  ListKind kind = ListKind::full;
  std::vector<HostEntry> entries;
};
struct NewSettings {  // calls that are open keep their rules
  Settings settings;
};
using PolicyInput =
    std::variant<AttemptOutcome, LoadOutcome, ProbeOutcome, ClientDisconnected, HostList, NewSettings>;

class PolicyDriver {
 public:
  PolicyDriver(const Settings& settings, Millis now);

  Steps pick(Millis now, CallId id, const Call& call);
  Steps report(Millis now, const PolicyInput& what);
  Steps tick(Millis now);  // everything that is due
  Millis next_tick() const;
  void set_host_filter(policy::HostFilter* host_filter) { policy_.set_host_filter(host_filter); }

 private:
  struct TimerDeadline {
    Millis at{0};
    std::uint64_t order = 0, token = 0;
    bool operator>(const TimerDeadline& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  policy::Policy policy_;
  std::priority_queue<TimerDeadline, std::vector<TimerDeadline>, std::greater<>> due_;
  std::uint64_t timers_set_ = 0;

  Steps handle(Millis now, const policy::Event& event);
};

}  // namespace lotusyard::core
