#include "maintenance/heartbeat_aggregator.h"

#include <utility>

#include "maintenance/log_entry_codec.h"

namespace lotusyard::maintenance {
namespace {

LogEntry make_entry(std::vector<Heartbeat> heartbeats, const std::string& reason) {
  return {RecordHeartbeats{std::move(heartbeats)}, reason, {}};
}

}  // namespace

// Entries over the size limit must not be proposed: members that read one reject it and stop for good.
AggregatedHeartbeats aggregate_heartbeats(std::map<std::string, Heartbeat>&& heartbeats,
                                          const std::string& reason) {
  AggregatedHeartbeats out;
  std::vector<Heartbeat> batch;
  const std::size_t empty_size = encode_entry(make_entry({}, reason)).size();
  std::size_t size = empty_size;
  for (auto& [member, heartbeat] : heartbeats) {
    const std::size_t added_size =
        heartbeat_to_json(heartbeat).dump().size() + 1;  // with the comma before it
    if (empty_size + added_size > kMaxEntryBytes) {
      ++out.dropped;
      continue;
    }
    if (size + added_size > kMaxEntryBytes) {
      out.entries.push_back(make_entry(std::exchange(batch, {}), reason));
      size = empty_size;
    }
    size += added_size;
    batch.push_back(std::move(heartbeat));
  }
  out.entries.push_back(make_entry(std::move(batch), reason));
  heartbeats.clear();
  return out;
}

}  // namespace lotusyard::maintenance
