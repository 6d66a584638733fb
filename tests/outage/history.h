// Record of what the hosts, clients and discovery service of a run observed: the only input of the checker.
// All times are milliseconds of one clock.
#pragma once

#include <limits>
#include <string>
#include <vector>

namespace lotusyard::test::outage {

constexpr double kNever = std::numeric_limits<double>::infinity();

enum class HostPhase { ready, draining, gone };

// A change of a host that the discovery service has published, whether or not any reader received it.
struct PhaseChange {
  double at = 0;
  std::string host;
  HostPhase phase = HostPhase::ready;
  bool restarted = false;  // the host is a new process, and cold
};

// A call or a load order for at least one copy, as the host received it.
struct HostRequest {
  enum class Kind { call, load };
  double at = 0;
  std::string host;
  Kind kind = Kind::call;
  std::string body;  // of a call
  bool rejected = false;
};

// One call as its client observed it.
struct ClientCall {
  std::string body;
  bool idempotent = true;
  double sent_at = 0;
  double timeout = 0;
  double answered_at = kNever;
  std::string status;
  int answers = 0;
  bool excused = false;  // its invoker was killed or stopped while the call was open
};

// A period during which the discovery service could not be read.
struct Outage {
  double from = 0;
  double to = kNever;
  bool answers_late = false;  // readers receive what was published, some seconds late
};

struct History {
  std::vector<PhaseChange> phases;
  std::vector<HostRequest> requests;
  std::vector<ClientCall> calls;
  std::vector<Outage> outages;
  std::vector<double> starts;  // when an invoker got a configuration that contains all events up to then
};

}  // namespace lotusyard::test::outage
