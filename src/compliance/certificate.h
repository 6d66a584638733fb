// Value types of the compliance module: regimes, the certificates of hosts, and a host's location.
#pragma once

#include <cstdint>
#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::compliance {

using policy::Millis;

// A set of rules that tenants can be subject to.
struct Regime {
  std::string name;
  // The zone that its hosts must be in; empty: any zone.
  std::string zone;
  // Whether hosts certified for the regime are reserved for tenants that are subject to it.
  bool exclusive = false;
};

// Permits a host to serve tenants that are subject to a regime.
struct Certificate {
  enum class State {
    valid,
    revoking,  // revoked, but some member may still have a call in flight under it
    ended      // revoked, and no member uses it any more
  };

  std::string name;
  std::string host;
  std::string regime;
  // Validity interval, in Unix milliseconds.
  Millis valid_from{0};
  Millis valid_until{0};
  // Whether the certificate remains valid after the host restarts.
  bool survives_restart = false;
  // Start time (Unix milliseconds) of the host process for which the certificate was issued.
  double host_incarnation = 0;
  State state = State::valid;
  // Log index of the revocation; 0 while the certificate is not revoked.
  std::uint64_t revoked_at_index = 0;
};

// A host as the endpoint list describes it.
struct HostLocation {
  std::string id;
  std::string zone;
  // Start time of the host process in Unix milliseconds; -1 if the host is not listed.
  double incarnation = 0;
};

}  // namespace lotusyard::compliance
