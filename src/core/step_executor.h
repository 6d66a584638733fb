// Executes the steps that the policy requests.
#pragma once

#include <string>

#include "core/attempt_guard.h"
#include "core/call_completion.h"
#include "core/call_table.h"
#include "core/deadline_queue.h"
#include "core/host_locations.h"
#include "core/host_transport.h"
#include "core/idempotency_keys.h"
#include "core/policy_runner.h"
#include "metrics/counters.h"

namespace lotusyard::core {

// Ignores steps for calls that have ended meanwhile.
class StepExecutor {
 public:
  struct Parts {
    CallTable& calls;
    IdempotencyKeys& keys;
    const HostLocations& host_locations;
    DeadlineQueue& deadlines;
    HostTransport& hosts;
    PolicyRunner& policy;
    CallCompletion& completion;
    metrics::Counters& counters;
  };
  // The parts must outlive the StepExecutor.
  StepExecutor(Clock clock, const Parts& parts);

  void execute(const Step& step);

 private:
  void on(const SendStep& step);
  void on(const RejectStep& step);
  void on(const FailStep& step);
  void on(const CancelStep& step);
  void on(const ProbeStep& step);
  void on(const LoadStep& step);
  void on(const UnloadStep& step);

  // The guard did not allow the attempt.
  void stop_attempt(const OpenCall& open, const Attempt& attempt, const std::string& host, Millis now);
  // The front end did not allow the attempt.
  void withhold_attempt(const OpenCall& open, const Attempt& attempt, const std::string& host, Millis now);
  void send_attempt(OpenCall& open, const InFlightAttempt& sent, Millis attempt_timeout);
  void report_not_sent(const Attempt& attempt, const std::string& host, bool call_ended, Millis now);

  Clock clock_;
  Parts parts_;
  AttemptGuard guard_;
};

}  // namespace lotusyard::core
