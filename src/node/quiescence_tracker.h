// Up to which index of the group's log this process has quiesced: it makes no call any more that a change up
// to this index forbids. No I/O; the time is passed in.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "compliance/certificate_state.h"
#include "control/message.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::node {

// A drained host is quiesced once this process has no call in flight there; a revoked certificate once every
// call that may have been sent under it has timed out.
class QuiescenceTracker {
 public:
  // Whether this process has no call in flight at the host and sends none.
  using HostIsFree = std::function<bool(const std::string& host)>;

  // `max_attempt_time`: the longest time that an attempt stays in flight.
  explicit QuiescenceTracker(maintenance::Millis max_attempt_time) : max_attempt_time_(max_attempt_time) {}

  // `position`: the log index of both states; also the greatest result.
  control::Index quiesced_index(const maintenance::MaintenanceState& maintenance,
                                const compliance::CertificateState& certificates, control::Index position,
                                const HostIsFree& is_free, maintenance::Millis now);

 private:
  using Revocation = std::pair<std::string, control::Index>;  // certificate and log index of its revocation

  maintenance::Millis max_attempt_time_;
  std::map<Revocation, maintenance::Millis> revoked_since_;  // when this process first saw each

  control::Index index_before_revocations(const compliance::CertificateState& certificates,
                                          maintenance::Millis now);
};

}  // namespace lotusyard::node
