// The steps that the policy requests: its actions with the call ids of this process.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/attempt.h"
#include "core/call.h"

namespace lotusyard::core {

struct SendStep {
  CallId call = 0;
  std::string host;
  Millis attempt_timeout{0};  // 0: the rest of the call's time-out
};

// Ends a call of which no attempt ran.
struct RejectStep {
  CallId call = 0;
  Millis retry_after{0};  // 0: not specified
};

// Ends a call of which an attempt may have run.
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
using Steps = std::vector<Step>;  // in the order in which they must be executed

}  // namespace lotusyard::core
