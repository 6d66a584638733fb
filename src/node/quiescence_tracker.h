// Up to which index of the log nothing that a change forbids is still under way at this process: no call at a
// host that is to be left alone, none under a certificate that was revoked. No I/O; the time is passed in.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "compliance/certificate_state.h"
#include "control/message.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::node {

class QuiescenceTracker {
 public:
  using HostIsFree = std::function<bool(const std::string& host)>;  // no call of this process is there
  // `last_call`: no call stays at a host for longer after it went out.
  explicit QuiescenceTracker(maintenance::Millis last_call) : max_attempt_time_(last_call) {}

  // `position`: what board and book are as of.
  control::Index quiesced_index(const maintenance::MaintenanceState& board,
                                const compliance::CertificateState& book, control::Index position,
                                const HostIsFree& free, maintenance::Millis now);

 private:
  using Revocation = std::pair<std::string, control::Index>;  // a certificate, and when it was revoked
  maintenance::Millis max_attempt_time_;
  std::map<Revocation, maintenance::Millis> revoked_since_;  // that this process knows of each

  control::Index before_revocations(const compliance::CertificateState& book, maintenance::Millis now);
};

}  // namespace lotusyard::node
