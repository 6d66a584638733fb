#include "quota/epoch_planner.h"

#include <algorithm>

#include "core/fault_injection.h"

namespace lotusyard::quota {
namespace {

using ProgressByMember = std::map<std::string, HolderProgress>;

// Null if the leader has progress of another incarnation of the member, or none.
const HolderProgress* find_progress(const ProgressByMember& progress, const std::string& member,
                                    std::uint64_t incarnation) {
  const auto found = progress.find(member);
  if (found == progress.end() || found->second.incarnation != incarnation) {
    return nullptr;
  }
  return &found->second;
}

// An incarnation that was removed or superseded may still be running until its
// lease ends. There is no time of its last heartbeat, so its silence is counted
// from the beginning of the epoch.
bool is_presumed_dead(const HolderProgress* progress, const raft::LeaseTerms& terms, Millis epoch_began_at,
                      Millis now) {
  const Millis silent_since = progress != nullptr ? progress->last_heartbeat_at : epoch_began_at;
  return now - silent_since >= terms.presumed_dead_after();
}

}  // namespace

std::optional<LogEntry> next_entry(const QuotaEpochs& epochs, const ProgressByMember& progress,
                                   const raft::LeaseTerms& terms, Millis epoch_began_at, Millis now) {
  const auto has_released_share = [&](const auto& holder) {
    const HolderProgress* known = find_progress(progress, holder.first, holder.second);
    const bool has_applied = known != nullptr && known->applied_index >= epochs.epoch_index();
    return has_applied || is_presumed_dead(known, terms, epoch_began_at, now) ||
           fault_injected("share-unheard");
  };
  if (!epochs.is_open()) {
    const auto& previous = epochs.previous_holders();
    if (!std::all_of(previous.begin(), previous.end(), has_released_share)) {
      return std::nullopt;
    }
    return OpenEpoch{epochs.epoch_index()};
  }
  BeginEpoch next;
  for (const auto& [member, known] : progress) {
    if (!is_presumed_dead(&known, terms, epoch_began_at, now)) {
      next.holders.emplace(member, known.incarnation);
    }
  }
  if (next.holders == epochs.current_holders()) {
    return std::nullopt;
  }
  return next;
}

}  // namespace lotusyard::quota
