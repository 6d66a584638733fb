// Decides which epoch change the leader proposes next. Does no I/O; the time is
// passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "quota/log_entry.h"
#include "quota/quota_epochs.h"
#include "raft/lease.h"

namespace lotusyard::quota {

// What the leader knows about a member from its heartbeats in the log.
struct HolderProgress {
  std::uint64_t incarnation = 0;
  // The last log index that the member has applied.
  std::uint64_t applied_index = 0;
  // By the leader's clock.
  Millis last_heartbeat_at{0};
};

// The entry that the leader has to propose; empty if the holders are current or
// the leader has to wait. `epoch_began_at`: when the leader applied the start of
// the current epoch, by its own clock.
std::optional<LogEntry> next_entry(const QuotaEpochs& epochs,
                                   const std::map<std::string, HolderProgress>& progress,
                                   const raft::LeaseTerms& terms, Millis epoch_began_at, Millis now);

}  // namespace lotusyard::quota
