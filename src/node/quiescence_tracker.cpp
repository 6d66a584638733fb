#include "node/quiescence_tracker.h"

#include <algorithm>
#include <limits>

namespace lotusyard::node {
namespace {

constexpr control::Index kNoBound = std::numeric_limits<control::Index>::max();

bool forbids_calls(maintenance::HostStage stage) {
  return stage == maintenance::HostStage::draining || stage == maintenance::HostStage::out_of_service;
}

// The greatest index before the selection of every host that must be free but is not.
control::Index index_before_used_hosts(const maintenance::MaintenanceState& maintenance,
                                       const QuiescenceTracker::HostIsFree& is_free) {
  control::Index bound = kNoBound;
  for (const auto& [id, host] : maintenance.hosts()) {
    const bool is_used = forbids_calls(host.stage) && !is_free(id);
    if (is_used)
      bound = std::min(bound, host.selected_at_index - 1);
  }
  return bound;
}

}  // namespace

// Calls under a revoked certificate aren't tracked one by one: all have ended after the longest attempt time.
control::Index QuiescenceTracker::index_before_revocations(const compliance::CertificateState& certificates,
                                                           maintenance::Millis now) {
  control::Index bound = kNoBound;
  std::map<Revocation, maintenance::Millis> still_revoking;
  for (const auto& [name, certificate] : certificates.certificates()) {
    if (certificate.state != compliance::Certificate::State::revoking)
      continue;
    const Revocation revocation{name, certificate.revoked_at_index};
    const auto known = revoked_since_.find(revocation);
    const maintenance::Millis since = known == revoked_since_.end() ? now : known->second;
    still_revoking[revocation] = since;
    const bool may_be_used = now - since < max_attempt_time_;
    if (may_be_used)
      bound = std::min(bound, certificate.revoked_at_index - 1);
  }
  revoked_since_ = std::move(still_revoking);
  return bound;
}

control::Index QuiescenceTracker::quiesced_index(const maintenance::MaintenanceState& maintenance,
                                                 const compliance::CertificateState& certificates,
                                                 control::Index position, const HostIsFree& is_free,
                                                 maintenance::Millis now) {
  const control::Index before_hosts = index_before_used_hosts(maintenance, is_free);
  const control::Index before_revocations = index_before_revocations(certificates, now);
  return std::min({position, before_hosts, before_revocations});
}

}  // namespace lotusyard::node
