#include "control/record_sender.h"

#include <algorithm>

#include "control/message_codec.h"
#include "core/fault_injection.h"
#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

constexpr Index kSkippedByFault = 7;  // the injected fault omits each multiple of this index

}  // namespace

void SendPosition::resume_after(Index position) {
  next_after_ = position;
  snapshot_.reset();
}

void SendPosition::advance_to(Index index) {
  next_after_ = index;
  max_sent_ = std::max(max_sent_, index);
}

void RecordSender::send_pending(ConnectionTransport::ConnectionId connection, SendPosition& position) {
  while (transport_.has_room(connection)) {
    if (position.snapshot_ == nullptr && needs_snapshot(position))
      begin_snapshot(position);
    if (position.snapshot_ != nullptr) {
      send_chunk(connection, position);
      continue;
    }
    const ChangeLog::Entry* entry = changes_.next_after(position.next_after_);
    if (entry == nullptr)
      return;
    send_delta(connection, *entry, position);
  }
}

bool RecordSender::needs_snapshot(const SendPosition& position) const {
  const bool is_empty = position.next_after_ == 0;
  return changes_.applied() > 0 && (is_empty || position.next_after_ < changes_.first());
}

void RecordSender::begin_snapshot(SendPosition& position) {
  counters_.add(metrics::kControlSnapshots);
  position.snapshot_ = changes_.snapshot();
  position.snapshot_offset_ = 0;
}

void RecordSender::send_chunk(ConnectionTransport::ConnectionId connection, SendPosition& position) {
  const ChangeLog::Snapshot& snapshot = *position.snapshot_;
  SnapshotChunk chunk{snapshot.index, position.snapshot_offset_, snapshot.bytes.size(), {}};
  chunk.bytes = snapshot.bytes.substr(position.snapshot_offset_, max_chunk_bytes_);
  transport_.send(connection, encode(chunk));
  position.snapshot_offset_ += chunk.bytes.size();
  if (position.snapshot_offset_ < snapshot.bytes.size())
    return;
  position.advance_to(snapshot.index);
  position.snapshot_.reset();
}

void RecordSender::send_delta(ConnectionTransport::ConnectionId connection, const ChangeLog::Entry& entry,
                              SendPosition& position) {
  const bool is_skipped = fault_injected("skip-delta") && entry.index % kSkippedByFault == 0;
  if (!is_skipped)
    transport_.send(connection, entry.frame);
  position.advance_to(entry.index);
}

}  // namespace lotusyard::control
