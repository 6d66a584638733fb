// A call that has been admitted and has no final answer yet, with its attempts.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt.h"
#include "core/call.h"
#include "core/front_end.h"

namespace lotusyard::core {

struct InFlightAttempt {
  Attempt attempt;
  std::string host;
  Millis sent_at{0};
};

// Retains the settings under which the call was admitted; changed settings apply to later calls only.
class OpenCall {
 public:
  // `settings` must have the call's class. `front_end` must outlive the call.
  OpenCall(CallId id, Call&& call, FrontEnd& front_end, std::shared_ptr<const Settings> settings);

  CallId id() const { return id_; }
  const Call& call() const { return call_; }
  FrontEnd& front_end() const { return *front_end_; }
  const Settings& settings() const { return *settings_; }
  const policy::ClassSettings& call_class() const { return *call_class_; }
  Millis expires_at() const { return call_.arrived + call_.timeout; }
  // Whether the call may be repeated only with its idempotency key.
  bool needs_key() const { return call_class_->semantics == policy::Semantics::idempotent_with_key; }

  // Allocates the number of the next attempt. The number counts even if that attempt is not sent in the end.
  Attempt allocate_attempt() { return {id_, attempts_allocated_++}; }
  int attempts_allocated() const { return attempts_allocated_; }

  void add_in_flight(const InFlightAttempt& attempt) { in_flight_.push_back(attempt); }
  const std::vector<InFlightAttempt>& in_flight() const { return in_flight_; }
  bool has_in_flight() const { return !in_flight_.empty(); }
  bool is_in_flight_at(const std::string& host) const;
  // Null if the attempt is not in flight. The result is valid until attempts are added or removed.
  const InFlightAttempt* find_in_flight(int attempt_number) const;
  // Removes and returns the attempt; nothing if it is not in flight. After an outcome that does not prove
  // that the attempt never ran, may_have_run() returns true.
  std::optional<InFlightAttempt> remove_in_flight(int attempt_number, Outcome outcome);
  // Whether an attempt that has ended may have run.
  bool may_have_run() const { return may_have_run_; }
  // Whether no attempt has run so far: none is in flight, and those that ended never ran.
  bool never_ran() const { return !may_have_run_ && in_flight_.empty(); }

 private:
  CallId id_;
  Call call_;
  FrontEnd* front_end_;
  std::shared_ptr<const Settings> settings_;
  const policy::ClassSettings* call_class_;  // in `settings_`
  int attempts_allocated_ = 0;
  std::vector<InFlightAttempt> in_flight_;
  bool may_have_run_ = false;
};

}  // namespace lotusyard::core
