// Limits and timeouts of the connections to hosts.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// The request that checks a connection that has been silent for long. Where the deployment forbids health
// checks, a load request for 0 copies (`order`) is answered as well.
enum class LivenessProbe { none, health, order };

struct Limits {
  Millis connect_timeout{250};
  // Hosts close a connection that was idle for this long.
  Millis idle_timeout{15000};
  // Timeout of load requests and of probes.
  Millis order_timeout{10000};
  LivenessProbe liveness = LivenessProbe::health;
  // Upper bound of the silence after which a connection is probed, where answers usually take long.
  Millis max_silence{400};
  // For this long after an attempt has ended, a late answer to it may still arrive.
  Millis late_answer_window{10000};
  // Attempts in flight on one connection, connections to one host, connections of the process.
  std::size_t max_attempts_per_connection = 32, max_connections_per_host = 4, max_connections = 256;
  // Bytes of one answer's body. A connection buffers at most one incomplete answer.
  std::size_t max_answer_bytes = 1U << 20;
  // Bytes of incomplete answers over all connections.
  std::size_t max_incoming_bytes = 32U << 20;
  // Bytes of the refs of attempts that have ended, over all connections.
  std::size_t max_ended_ref_bytes = 4U << 20;
  // Names of the fields of a host's load report, in the order in which the policy expects their values.
  std::vector<std::string> report_fields;
};

}  // namespace lotusyard::hosts
