// A call's life: taken, tried at hosts, with as many attempts out as the settings allow, ended by exactly one
// final answer.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <unordered_set>

#include "core/idempotency_keys.h"
#include "core/policy_driver.h"
#include "core/rejection_reason.h"
#include "core/types.h"
#include "metrics/counters.h"

namespace lotusyard::core {

class Dispatcher {
 public:
  using Clock = std::function<Millis()>;
  Dispatcher(const Settings& settings, Clock clock, HostTransport& hosts, metrics::Counters& counters);

  // The id is made beforehand, so that a front can file the call before an answer comes.
  CallId allocate_call_id() { return ++last_id_; }
  // Admits the call, or says why not; the front end then owes its client a failure. An admitted call gets
  // exactly one answer, which may be given before this returns.
  std::optional<RejectionReason> admit(CallId id, Call&& call, FrontEnd& front_end);
  void client_disconnected(CallId id);  // the client is gone: no answer is owed

  // The caller's side of the last look, right before an attempt's first byte goes to the kernel.
  // once_read: when what the caller has sent was read. over: whoever ends the call takes the attempt back.
  enum class WriteCheck { allowed, after_client_read, call_over };
  WriteCheck check_before_write(const Attempt& attempt, Millis decided);
  // Reads what the caller has sent, so that the next look finds it read.
  void read_client_input(const Attempt& attempt);
  const Call* find_call(CallId id) const;

  void attempt_ended(const Attempt& attempt, AttemptEnd&& end);
  void load_ended(LoadOutcome&& end);
  void probe_ended(ProbeOutcome&& end);
  void update_endpoints(HostList&& list);
  void apply_settings(const Settings& settings);  // open calls keep the rules under which they were taken

  // Answers at once those that `which` names: what never ran is refused, what may have run is failed.
  enum class CallSelection { never_sent, all };  // held: only those that never went out
  void abort_calls(CallSelection kind, const std::function<bool(CallId)>& which);

  // Told of each attempt's end, before the call's, where set.
  using AttemptObserver = std::function<void(const std::string& host, const Call& call, Outcome outcome)>;
  void observe_attempts(AttemptObserver witness) { attempt_observer_ = std::move(witness); }
  // Told of each call that is refused and never went out, where set.
  using RejectionObserver = std::function<void(const Call& call)>;
  void observe_rejections(RejectionObserver refused) { rejection_observer_ = std::move(refused); }
  void set_host_filter(policy::HostFilter* host_filter) {
    policy_driver_.set_host_filter(host_filter);
  }  // which hosts a call may go to at all
  const Settings& settings() const { return *settings_; }

  void tick();
  Millis next_deadline() const;
  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct InFlightAttempt {
    Attempt attempt;
    std::string host;
    Millis sent{0};
  };
  struct OpenCall {
    Call call;
    FrontEnd* front = nullptr;
    std::shared_ptr<const Settings> rules;
    const policy::ClassSettings* call_class = nullptr;  // in `rules`
    bool may_have_run = false;                          // one of those that have ended
    int attempts = 0;
    std::vector<InFlightAttempt> in_flight;
    bool keyed() const { return call_class->semantics == policy::Semantics::idempotent_with_key; }
  };
  struct Deadline {
    Millis at{0};
    CallId call = 0;
    int attempt = -1;  // -1: the call's own deadline
    bool operator>(const Deadline& o) const {
      return std::tie(at, call, attempt) > std::tie(o.at, o.call, o.attempt);
    }
  };

  std::shared_ptr<const Settings> settings_;
  Clock clock_;
  HostTransport& hosts_;
  metrics::Counters& counters_;
  PolicyDriver policy_driver_;
  CallId last_id_ = 0;
  std::unordered_map<CallId, OpenCall> calls_;
  std::unordered_set<std::string> refs_;  // of open calls, and of those that ended a short while ago
  std::deque<std::pair<Millis, std::string>> ended_refs_;
  IdempotencyKeys keys_;
  std::unordered_map<std::string, HostLocation> host_locations_;  // of the hosts on the list
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
  std::deque<Step> steps_;
  bool executing_steps_ = false;
  AttemptObserver attempt_observer_;
  RejectionObserver rejection_observer_;

  void run(Steps&& steps);
  void execute(const SendStep& step);
  void execute(const RejectStep& step);
  void execute(const FailStep& step);
  void execute(const CancelStep& step);
  void execute(const ProbeStep& step) { hosts_.probe(step.host); }
  void execute(const LoadStep& step);
  void execute(const UnloadStep& step) { hosts_.unload(step.host, step.function); }
  // Takes the attempt from those that are out and books how it ended; none if it is not out.
  std::optional<InFlightAttempt> remove_attempt(CallId id, OpenCall& open, int number, Outcome outcome);
  void notify_attempt_ended(InFlightAttempt&& out, Outcome outcome, bool call_ended);
  void cancel_attempts(CallId id, OpenCall& open);
  bool may_send_to(const OpenCall& open, const std::string& host) const;
  void end_key_use(const OpenCall& open);
  void finish_call(CallId id, Answer&& answer);
  std::optional<RejectionReason> rejection_reason(const Call& call) const;
  void remember_ref(const std::string& ref);
  void expire_refs();
  OpenCall* find_open_call(CallId id);
};

}  // namespace lotusyard::core
