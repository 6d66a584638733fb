// Ends calls and attempts: each call gets one final answer, or none if its client has disconnected.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "core/call_table.h"
#include "core/host_transport.h"
#include "core/idempotency_keys.h"
#include "core/policy_runner.h"
#include "core/ref_retention.h"
#include "metrics/counters.h"

namespace lotusyard::core {

// Functions that take a CallId do nothing if that call has ended.
class CallCompletion {
 public:
  // What is passed by reference must outlive the CallCompletion.
  CallCompletion(Clock clock, CallTable& calls, RefRetention& refs, IdempotencyKeys& keys,
                 HostTransport& hosts, PolicyRunner& policy, metrics::Counters& counters);

  using RejectionObserver = std::function<void(const Call& call)>;
  void observe_rejections(RejectionObserver observer) { rejection_observer_ = std::move(observer); }

  // Gives the call its final answer and cancels the attempts that are still in flight.
  void finish(CallId id, Answer&& answer);
  // Cancels the attempts in flight and rejects the call; it fails instead if an attempt may have run.
  void reject(CallId id, Millis retry_after);
  // Finishes the call as rejected if no attempt may have run, and as failed otherwise.
  void finish_without_result(const OpenCall& open, Millis retry_after);
  // Ends the call without an answer.
  void client_disconnected(CallId id);

  // Removes the attempt from those in flight and records whether its outcome proves that it never ran.
  // Returns nothing if it was not in flight. The caller has to report the end to the policy.
  std::optional<InFlightAttempt> end_attempt(OpenCall& open, int attempt_number, Outcome outcome);
  // Cancels the attempt at its host and reports to the policy that it ended: with the outcome
  // `if_may_have_run`, or `if_never_ran` if the host provably did not run it. Does nothing if it is not in
  // flight.
  void cancel_attempt(OpenCall& open, int attempt_number, Outcome if_may_have_run, Outcome if_never_ran);

 private:
  struct EndedAttempt {
    InFlightAttempt attempt;
    Outcome outcome;
  };
  // The reports of the attempts may end the call: `open` must not be used afterwards if it is in the table.
  void cancel_all_attempts(OpenCall& open);
  std::optional<EndedAttempt> cancel_in_flight(OpenCall& open, int attempt_number, Outcome if_may_have_run,
                                               Outcome if_never_ran);
  void report_ended(const EndedAttempt& ended, bool call_ended);
  // Ends the use of the key and starts the retention of the ref of a call that has left the table.
  void release(const OpenCall& ended);

  Clock clock_;
  CallTable& calls_;
  RefRetention& refs_;
  IdempotencyKeys& keys_;
  HostTransport& hosts_;
  PolicyRunner& policy_;
  metrics::Counters& counters_;
  RejectionObserver rejection_observer_;
};

}  // namespace lotusyard::core
