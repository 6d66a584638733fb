#include "maintenance/heartbeat_aggregator.h"

#include <utility>

namespace lotusyard::maintenance {
namespace {

LogEntry entry_with(const std::string& reason) {
  LogEntry out;
  out.kind = LogEntry::Kind::heartbeats;
  out.reason = reason;
  return out;
}

}  // namespace

// Danger: an entry over the bound is refused by every member that reads it, and each stands aside for good.
AggregatedHeartbeats aggregate_heartbeats(std::map<std::string, Heartbeat>&& heard,
                                          const std::string& reason) {
  AggregatedHeartbeats out;
  out.entries.push_back(entry_with(reason));
  const std::size_t empty = encode_entry(out.entries.back()).size();
  std::size_t length = empty;
  for (auto& [member, beat] : heard) {
    const std::size_t more = heartbeat_to_json(beat).dump().size() + 1;  // and the comma before it
    if (empty + more > max_entry_bytes) {
      ++out.dropped;
      continue;
    }
    if (length + more > max_entry_bytes) {
      out.entries.push_back(entry_with(reason));
      length = empty;
    }
    length += more;
    out.entries.back().heartbeats.push_back(std::move(beat));
  }
  heard.clear();
  return out;
}

}  // namespace lotusyard::maintenance
