#include "maintenance/heartbeat_aggregator.h"

#include <utility>

namespace lotusyard::maintenance {
namespace {

LogEntry empty_entry(const std::string& reason) {
  LogEntry out;
  out.kind = LogEntry::Kind::heartbeats;
  out.reason = reason;
  return out;
}

}  // namespace

// Members that read an entry over the size limit reject it and stop for good, so the limit is kept here.
AggregatedHeartbeats aggregate_heartbeats(std::map<std::string, Heartbeat>&& heartbeats,
                                          const std::string& reason) {
  AggregatedHeartbeats out;
  out.entries.push_back(empty_entry(reason));
  const std::size_t empty_size = encode_entry(out.entries.back()).size();
  std::size_t size = empty_size;
  for (auto& [member, heartbeat] : heartbeats) {
    const std::size_t added_size =
        heartbeat_to_json(heartbeat).dump().size() + 1;  // with the comma before it
    if (empty_size + added_size > kMaxEntryBytes) {
      ++out.dropped;
      continue;
    }
    if (size + added_size > kMaxEntryBytes) {
      out.entries.push_back(empty_entry(reason));
      size = empty_size;
    }
    size += added_size;
    out.entries.back().heartbeats.push_back(std::move(heartbeat));
  }
  heartbeats.clear();
  return out;
}

}  // namespace lotusyard::maintenance
