// A call as a front end has parsed it, and its final answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/policy_types.h"

namespace lotusyard::core {

// Identifies a call within this process; never reused.
using CallId = std::uint64_t;

struct Call {
  std::string ref;  // the client's id of the call, passed on to hosts unchanged
  std::string class_name;
  std::string tenant;
  std::string function_name;   // as the client wrote it
  std::uint64_t function = 0;  // the function as a number, for the policy
  std::optional<double> cost_hint;
  bool retry = false;  // the client's own retry of an earlier call
  std::string key;     // the client's idempotency key, passed on to hosts unchanged; empty: none
  // The earliest time at which another invoker, or this one before a restart, may have run a call with the
  // same key.
  std::optional<Millis> may_have_run_since;
  double memory_mb = 0;
  int lanes = 1;  // calls that one instance serves concurrently
  Millis arrived{0};
  Millis timeout{0};  // from `arrived`
  std::string body;
};

// rejected: no attempt ran, so that the client may try again; failed: an attempt may have run.
enum class CallStatus { succeeded, rejected, failed };

struct Answer {
  CallStatus status = CallStatus::failed;
  Millis retry_after{0};  // how long the client should wait before it tries again; 0: not specified
  std::string body;
};

}  // namespace lotusyard::core
