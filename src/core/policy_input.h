// The reports that the policy receives.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/attempt.h"
#include "core/call.h"

namespace lotusyard::core {

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

// The policy must send no further attempt of the call.
struct ClientDisconnected {
  CallId call = 0;
};

struct HostList {
  ListKind kind = ListKind::full;
  std::vector<HostEntry> entries;
};

// Calls that are open keep the settings under which they were admitted.
struct NewSettings {
  Settings settings;
};

using PolicyInput =
    std::variant<AttemptOutcome, LoadOutcome, ProbeOutcome, ClientDisconnected, HostList, NewSettings>;

}  // namespace lotusyard::core
