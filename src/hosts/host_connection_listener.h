// Interface through which a connection to a host reports to its pool.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "hosts/host_readiness.h"

namespace lotusyard::hosts {

class HostConnection;

// Implemented by HostConnectionPool. Functions named ..._not_sent and ..._needs_connection concern requests
// that never left this process, so that none of them can have run.
class HostConnectionListener {
 public:
  struct LostAttempt {
    core::Attempt attempt;
    core::Outcome outcome = core::Outcome::reset;
  };

  // Returns whether this may be sent to the host now: a call, a load of the function, or, if the call is null
  // and the function 0, any other request.
  virtual bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) const = 0;

  // Whether new work may be sent to the host over this connection.
  virtual ReadinessResult readiness(const HostConnection& connection) const = 0;
  // Whether the connection has to stay open though it is idle.
  virtual bool keeps_when_idle(const HostConnection& connection) const = 0;
  // The host has answered a call that was sent at `sent_at`.
  virtual void on_call_answered(const HostConnection& connection, core::Millis sent_at,
                                core::Outcome outcome) = 0;
  // A health check has ended; see ReadinessMonitor::on_checked().
  virtual void on_readiness_checked(const HostConnection& connection, core::Millis sent_at,
                                    core::Outcome outcome) = 0;

  virtual void on_attempt_answered(const core::Attempt& attempt, core::AttemptEnd&& end) = 0;
  virtual void on_attempt_not_sent(const core::Attempt& attempt) = 0;
  // The attempt was not sent, because the host is not known to take new work.
  virtual void on_attempt_withheld(const core::Attempt& attempt, WithheldReason reason) = 0;
  // The connection has closed, which has ended all attempts in flight on it.
  virtual void on_attempts_lost(const std::string& host, const std::vector<LostAttempt>& lost) = 0;
  virtual void on_attempt_needs_connection(const core::Attempt& attempt, const std::string& host,
                                           const core::Call& call, core::Millis deadline) = 0;

  virtual void on_probe_ended(core::ProbeOutcome&& outcome) = 0;
  virtual void on_probe_not_sent(const std::string& host) = 0;
  virtual void on_probe_needs_connection(const std::string& host) = 0;

  virtual void on_load_ended(core::LoadOutcome&& outcome) = 0;
  virtual void on_load_not_sent(const std::string& host, std::uint64_t function) = 0;
  virtual void on_load_withheld(const std::string& host, std::uint64_t function, WithheldReason reason) = 0;
  virtual void on_load_needs_connection(const std::string& host, std::uint64_t function, int copies) = 0;

  // The number of buffered bytes of an incomplete answer has changed.
  virtual void on_buffered_bytes_changed(HostConnection& connection, std::size_t before, std::size_t now) = 0;
  // The connection has closed. It is deleted in the next iteration of the event loop.
  virtual void on_connection_closed(HostConnection& connection) = 0;

 protected:
  ~HostConnectionListener() = default;
};

}  // namespace lotusyard::hosts
