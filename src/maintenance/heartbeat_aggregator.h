// Packs the heartbeats that the leader received into log entries of bounded size. Does no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "maintenance/log_entry.h"

namespace lotusyard::maintenance {

struct AggregatedHeartbeats {
  std::vector<LogEntry> entries;
  std::size_t dropped = 0;  // heartbeats too large for any entry
};

// Packs the heartbeats, keyed by member, into as few entries as `kMaxEntryBytes` allows. Every entry carries
// `reason`; there is at least one entry, even without heartbeats.
AggregatedHeartbeats aggregate_heartbeats(std::map<std::string, Heartbeat>&& heartbeats,
                                          const std::string& reason);

}  // namespace lotusyard::maintenance
