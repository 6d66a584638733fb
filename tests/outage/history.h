// What hosts, clients and the discovery service of a run recorded: the only input of the checker. Times are
// milliseconds on one clock.
#pragma once

#include <limits>
#include <string>
#include <vector>

namespace lotusyard::test::outage {

constexpr double kNever = std::numeric_limits<double>::infinity();

enum class HostPhase { ready, draining, gone };

// A change of a host that the discovery service has published, whether or not anybody could read it.
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
  bool turned_away = false;
};

// What a client saw of one call.
struct ClientCall {
  std::string body;
  bool repeatable = true;
  double sent_at = 0;
  double timeout = 0;
  double answered_at = kNever;
  std::string status;
  int answers = 0;
  bool excused = false;  // its invoker was killed or stopped while the call was open
};

// A time during which the discovery service could not be read.
struct Outage {
  double from = 0;
  double to = kNever;
  bool answers_late = false;  // readers get what was published in the end, some seconds late
};

struct History {
  std::vector<PhaseChange> phases;
  std::vector<HostRequest> requests;
  std::vector<ClientCall> calls;
  std::vector<Outage> outages;
  std::vector<double> starts;  // when invokers were given a configuration that holds all events up to then
};

}  // namespace lotusyard::test::outage
