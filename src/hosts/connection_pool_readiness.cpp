// Handles what connections report to the pool about the readiness of hosts.
#include "hosts/connection_pool.h"

namespace lotusyard::hosts {

using core::Outcome;

ReadinessResult HostConnectionPool::readiness(const HostConnection& connection) const {
  return readiness_monitor_.evaluate(hosts_.at(connection.host()), connection);
}

bool HostConnectionPool::keeps_when_idle(const HostConnection& connection) const {
  return readiness_monitor_.keeps_when_idle(hosts_.at(connection.host()), connection);
}

void HostConnectionPool::on_call_answered(const HostConnection& connection, Millis sent_at, Outcome outcome) {
  readiness_monitor_.on_call_answered(hosts_.at(connection.host()), connection, sent_at, outcome);
}

void HostConnectionPool::on_readiness_checked(const HostConnection& connection, Millis sent_at,
                                              Outcome outcome) {
  readiness_monitor_.on_checked(hosts_.at(connection.host()), connection, sent_at, outcome);
}

// An unresponsive host counts as one that cannot be connected to. In all other cases the host has not failed,
// and the policy must not treat it as lost.
void HostConnectionPool::on_attempt_withheld(const core::Attempt& attempt, WithheldReason reason) {
  attempts_.erase(attempt);
  const bool is_silent = reason == WithheldReason::unresponsive;
  deferred_ends_.attempt_ended(attempt, is_silent ? Outcome::connect_failed : Outcome::never_ran);
}

// The outcome is the one that a draining host itself reports for a load.
void HostConnectionPool::on_load_withheld(const std::string& host, std::uint64_t function,
                                          WithheldReason reason) {
  const bool is_silent = reason == WithheldReason::unresponsive;
  deferred_ends_.load_ended(host, function, is_silent ? Outcome::connect_failed : Outcome::at_capacity);
}

}  // namespace lotusyard::hosts
