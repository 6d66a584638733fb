// Runs the life cycle of calls: admission from a front end, attempts at hosts as the policy decides, and one
// final answer. Connects the components of the core.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/call_completion.h"
#include "core/call_table.h"
#include "core/deadline_queue.h"
#include "core/host_locations.h"
#include "core/idempotency_keys.h"
#include "core/policy_runner.h"
#include "core/ref_retention.h"
#include "core/rejection_reason.h"
#include "core/step_executor.h"
#include "core/types.h"
#include "core/write_check.h"
#include "metrics/counters.h"

namespace lotusyard::core {

// Not thread-safe. Has no timers of its own: tick() is due at next_deadline().
class Dispatcher {
 public:
  using WriteCheck = core::WriteCheck;

  // `hosts` and `counters` must outlive the Dispatcher.
  Dispatcher(const Settings& settings, Clock clock, HostTransport& hosts, metrics::Counters& counters);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Called by front ends.

  // The id is allocated before admit() so that the front end can register the call before its answer comes.
  CallId allocate_call_id() { return ++last_id_; }
  // Returns why the call is not admitted, or nothing if it is. The front end has to answer the client of a
  // call that is not admitted. An admitted call gets one answer, possibly before this returns.
  std::optional<RejectionReason> admit(CallId id, Call&& call, FrontEnd& front_end);
  // The client has cancelled the call or closed its connection: the call ends without an answer.
  void client_disconnected(CallId id) { completion_.client_disconnected(id); }
  // never_sent: calls that no host has been sent, apart from attempts that provably never ran.
  enum class CallSelection { never_sent, all };
  // Ends the selected calls for which `applies` returns true: as rejected if no attempt may have run, and as
  // failed otherwise.
  void abort_calls(CallSelection selection, const std::function<bool(CallId)>& applies);

  // Called by the transport to hosts.

  // Whether the attempt may be written now. `decided_at` is when it was passed to send_attempt(). An attempt
  // without an open call is allowed.
  WriteCheck check_before_write(const Attempt& attempt, Millis decided_at);
  // Reads the input that the attempt's client has sent, so that the next check_before_write() takes it into
  // account. May end calls.
  void read_client_input(const Attempt& attempt);
  // Null if the call has ended. The result is valid until the call ends.
  const Call* find_call(CallId id) const;
  void attempt_ended(const Attempt& attempt, AttemptEnd&& end);
  void load_ended(LoadOutcome&& outcome);
  void probe_ended(ProbeOutcome&& outcome);

  // Called by the owner.

  void update_endpoints(HostList&& list);
  // Open calls keep the settings under which they were admitted.
  void apply_settings(const Settings& settings);
  const Settings& settings() const { return *settings_; }
  // The filter must outlive the Dispatcher; null allows every host.
  void set_host_filter(policy::HostFilter* host_filter) { policy_.set_host_filter(host_filter); }
  // Notified of the outcome of each attempt that a host or its connection has ended, before the call ends.
  using AttemptObserver = std::function<void(const std::string& host, const Call& call, Outcome outcome)>;
  void observe_attempts(AttemptObserver observer) { attempt_observer_ = std::move(observer); }
  // Notified of each call that is rejected after admission and for which no attempt was made.
  using RejectionObserver = CallCompletion::RejectionObserver;
  void observe_rejections(RejectionObserver observer) { completion_.observe_rejections(std::move(observer)); }
  // Handles the deadlines and the timers of the policy that are due.
  void tick();
  // When tick() is due; infinite if nothing is.
  Millis next_deadline() const;
  std::size_t open_calls() const { return calls_.size(); }
  const IdempotencyKeys& idempotency_keys() const { return keys_; }
  // The memory of functions that clients have called, whether or not they exist.
  policy::FunctionTableSize function_table_size() const { return policy_.function_table_size(); }

 private:
  std::optional<RejectionReason> check_admission(const Call& call);
  void on_deadline(const Deadline& deadline, Millis now);
  void on_attempt_timeout(OpenCall& open, int attempt_number);
  void on_call_overdue(CallId id, Millis now);

  std::shared_ptr<const Settings> settings_;
  Clock clock_;
  metrics::Counters& counters_;
  CallId last_id_ = 0;
  CallTable calls_;
  RefRetention refs_;
  IdempotencyKeys keys_;
  HostLocations host_locations_;
  DeadlineQueue deadlines_;
  PolicyRunner policy_;
  CallCompletion completion_;
  StepExecutor step_executor_;
  AttemptObserver attempt_observer_;
};

}  // namespace lotusyard::core
