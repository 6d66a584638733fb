#include "node/quiescence_tracker.h"

#include <algorithm>
#include <limits>

namespace lotusyard::node {
namespace {

constexpr control::Index kAll = std::numeric_limits<control::Index>::max();

control::Index before_used_hosts(const maintenance::MaintenanceState& board,
                                 const QuiescenceTracker::HostIsFree& free) {
  control::Index out = kAll;
  for (const auto& [id, host] : board.hosts()) {
    const bool forbidden = host.stage == maintenance::HostStage::draining ||
                           host.stage == maintenance::HostStage::out_of_service;
    if (forbidden && !free(id)) out = std::min(out, host.selected_at_index - 1);
  }
  return out;
}

}  // namespace

// A revoked certificate is used no more once every call that may have gone out under it has run out of time.
control::Index QuiescenceTracker::before_revocations(const compliance::CertificateState& book,
                                                     maintenance::Millis now) {
  control::Index out = kAll;
  std::map<Revocation, maintenance::Millis> ending;
  for (const auto& [name, certificate] : book.certificates()) {
    if (certificate.state != compliance::Certificate::State::revoking) continue;
    const Revocation revocation{name, certificate.revoked_at_index};
    const auto known = revoked_since_.find(revocation);
    const maintenance::Millis since = known == revoked_since_.end() ? now : known->second;
    ending[revocation] = since;
    if (now - since < max_attempt_time_) out = std::min(out, certificate.revoked_at_index - 1);
  }
  revoked_since_ = std::move(ending);
  return out;
}

control::Index QuiescenceTracker::quiesced_index(const maintenance::MaintenanceState& board,
                                                 const compliance::CertificateState& book,
                                                 control::Index position, const HostIsFree& free,
                                                 maintenance::Millis now) {
  return std::min({position, before_used_hosts(board, free), before_revocations(book, now)});
}

}  // namespace lotusyard::node
