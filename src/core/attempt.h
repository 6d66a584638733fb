// One attempt to run a call at a host, and its outcome.
#pragma once

#include <string>
#include <tuple>

#include "core/call.h"
#include "core/policy_types.h"

namespace lotusyard::core {

// Attempts of a call are numbered from 0, in the order in which the policy requested them.
struct Attempt {
  CallId call = 0;
  int number = 0;
  bool operator<(const Attempt& other) const {
    return std::tie(call, number) < std::tie(other.call, other.number);
  }
  bool operator==(const Attempt& other) const { return call == other.call && number == other.number; }
};

struct AttemptEnd {
  Outcome outcome = Outcome::error;
  int host_concurrency = 0;  // calls of the same function that were in flight at the host
  Report report;
  std::string body;  // of the answer, if the outcome is `ok`
};

}  // namespace lotusyard::core
