// Signs of life as the member that leads puts them into the log: in entries of bounded length. No I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "maintenance/log_entry.h"

namespace lotusyard::maintenance {

struct AggregatedHeartbeats {
  std::vector<LogEntry> entries;
  std::size_t dropped = 0;  // signs of life too long for any entry
};

// All that was heard, by member, in as few entries as the bound on an entry's wording allows; each carries
// `reason`. At least one entry.
AggregatedHeartbeats aggregate_heartbeats(std::map<std::string, Heartbeat>&& heard,
                                          const std::string& reason);

}  // namespace lotusyard::maintenance
