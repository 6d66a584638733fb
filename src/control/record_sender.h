// Sends the records to sessions: a snapshot in chunks to those that need one, then deltas. No I/O.
#pragma once

#include <cstddef>
#include <memory>

#include "control/change_log.h"
#include "control/connection_transport.h"
#include "metrics/counters.h"

namespace lotusyard::control {

// How far the records have been sent on one connection.
class SendPosition {
 public:
  SendPosition() = default;
  // `position`: the position of the replica at the start of the connection.
  explicit SendPosition(Index position) : next_after_(position), max_sent_(position) {}

  // The furthest index that the replica can have reached by what was sent.
  Index max_sent() const { return max_sent_; }
  // Continues after `position`, at most max_sent(). A snapshot in progress is abandoned.
  void resume_after(Index position);

 private:
  friend class RecordSender;

  Index next_after_ = 0;  // what is sent next follows this index
  Index max_sent_ = 0;
  std::shared_ptr<const ChangeLog::Snapshot> snapshot_;  // in progress
  std::size_t snapshot_offset_ = 0;

  void advance_to(Index index);
};

// Memory for each connection is bounded: what is sent next on it is read from the shared change log when its
// transport has room.
class RecordSender {
 public:
  // All references must outlive the sender.
  RecordSender(ChangeLog& changes, ConnectionTransport& transport, metrics::Counters& counters,
               std::size_t max_chunk_bytes)
      : changes_(changes), transport_(transport), counters_(counters), max_chunk_bytes_(max_chunk_bytes) {}

  // Sends the next chunks and deltas for as long as the transport has room.
  void send_pending(ConnectionTransport::ConnectionId connection, SendPosition& position);

 private:
  ChangeLog& changes_;
  ConnectionTransport& transport_;
  metrics::Counters& counters_;
  std::size_t max_chunk_bytes_;

  bool needs_snapshot(const SendPosition& position) const;
  void begin_snapshot(SendPosition& position);
  void send_chunk(ConnectionTransport::ConnectionId connection, SendPosition& position);
  void send_delta(ConnectionTransport::ConnectionId connection, const ChangeLog::Entry& entry,
                  SendPosition& position);
};

}  // namespace lotusyard::control
