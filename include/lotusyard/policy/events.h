// The events that the decision module handles.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lotusyard/policy/settings.h"

namespace lotusyard::policy {

enum class HostState { removed, draining, ready };

// full: all hosts; delta: those that changed; cached: an old full list; failed: no list was available.
enum class ListKind { delta, cached, failed, full };

// How an attempt, a load order or a probe ended. On the wire, never_ran is `moot`, no_instance is `absent`
// and at_capacity is `full`; `hosts/host_protocol.h` and `simulator_adapter/wire.cpp` map them.
enum class Outcome {
  ok,
  error,
  at_capacity,     // the host has no room for the call
  timeout,         // no answer in time
  connect_failed,  // the call was never sent completely
  reset,           // the connection ended while the call was in flight
  cancelled,
  never_ran,   // the attempt was withdrawn before it began
  no_instance  // the host has no instance of the function
};

// Whether the outcome proves that the attempt did not run, so that even a non-idempotent call may be retried.
inline bool proves_never_ran(Outcome outcome) {
  return outcome == Outcome::at_capacity || outcome == Outcome::connect_failed ||
         outcome == Outcome::never_ran || outcome == Outcome::no_instance;
}

// The state of the instance that served a call, as its answer reports it.
enum class Warmth { unknown, warm, cold_start, waited_for_load, load_failed };

// The numbers of a load report, in the order of LoadReportSettings::fields; empty if there was no report.
using Report = std::optional<std::vector<double>>;

struct HostEntry {
  std::string host;  // its id
  std::string kind;
  std::string zone;
  int cell = 0;
  double weight = 1;
  HostState state = HostState::ready;
  Millis started{0};
  bool enabled_by_operator = false;  // an operator returned it to service manually
};

namespace event {

// Must be the first event, and occurs only once.
struct Start {
  Settings settings;
};

struct Stop {};

// Open requests keep the settings that were in effect when they arrived.
struct SettingsChanged {
  Settings settings;
};

struct EndpointListUpdate {
  ListKind kind = ListKind::full;
  std::vector<HostEntry> entries;
};

// A call of a client.
struct Request {
  std::string id;
  std::string class_name;
  std::string tenant;
  std::optional<double> cost_hint;
  bool retry = false;  // the client's own retry of an earlier request
  bool write = false;
  std::uint64_t function = 0;
  double memory_mb = 0;
  std::optional<Millis> load_hint;
  Millis expires_in{0};
  int lanes = 1;  // calls that one instance serves at once
};

// A streamed answer has started: the request cannot be retried any more.
struct StreamBegan {
  std::string id;
  int attempt = 0;
};

struct AttemptEnded {
  std::string id;
  std::string host;
  int attempt = 0;
  Outcome outcome = Outcome::error;
  Warmth warmth = Warmth::unknown;
  int host_concurrency = 0;  // calls of that function in flight at the host
  bool call_ended = false;   // the client has its final answer
  Millis elapsed{0};
  Report report;
};

// The client no longer waits for the answer.
struct ClientDisconnected {
  std::string id;
};

struct Timer {
  std::uint64_t token = 0;
};

// The end of an action::Probe.
struct Probed {
  std::string host;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  Report report;
};

// The end of an action::Load.
struct Loaded {
  std::string host;
  std::uint64_t function = 0;
  Outcome outcome = Outcome::ok;
  Millis elapsed{0};
  int copies = 0;  // instances that the host has now
};

struct PeerMessage {
  int from = 0;
  std::string text;
};

}  // namespace event

using Event = std::variant<event::Start, event::Stop, event::SettingsChanged, event::EndpointListUpdate,
                           event::Request, event::StreamBegan, event::AttemptEnded, event::ClientDisconnected,
                           event::Timer, event::Probed, event::Loaded, event::PeerMessage>;

}  // namespace lotusyard::policy
