// The socket of one connection at a control node. What waits unsent on it, and how long it may be silent or
// stalled, is bounded.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "control/connection_transport.h"
#include "control/message_codec.h"
#include "metrics/counters.h"
#include "net/buffered_connection.h"

namespace lotusyard::control {

class ServerConnection final : public net::BufferedConnection {
 public:
  using Id = ConnectionTransport::ConnectionId;

  struct Limits {
    std::size_t max_unsent_bytes = 64U << 10;  // with more, no further chunk or delta is queued
    Millis open_timeout{3000};                 // from the connection to its Open
    Millis stall_timeout{10000};               // bytes wait, and the peer reads none of them
    Millis silence_timeout{6000};              // without any message, once open
  };

  // The owner of the connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_message(Id id, Message&& message, Millis now) = 0;
    virtual void on_malformed(Id id) = 0;
    // Everything was written, and has_room() has returned false before: refill() is to be called later.
    virtual void refill_later(Id id) = 0;
    // There is room again.
    virtual void on_writable(Id id) = 0;
    // The connection has ended, and the owner must delete it later. `by_owner`: finish() was called before.
    virtual void on_closed(Id id, bool by_owner) = 0;
  };

  // All references must outlive the connection.
  ServerConnection(Owner& owner, Id id, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket,
                   const Limits& limits, metrics::Counters& counters);

  // Queues a frame regardless of has_room(): a peer that sends requests without reading the responses is
  // disconnected instead.
  void send(const std::string& frame);
  // Whether a chunk or a delta may be queued. If not, refill_later() of the owner is called once everything
  // was written.
  bool has_room();
  // Calls the owner's on_writable() if that is still wanted.
  void refill();
  // Closes the connection once everything was written.
  void finish();
  // To be called regularly: disconnects a peer that is silent or stalled.
  void check_timeouts(Millis now);

 private:
  Owner& owner_;
  const Id id_;
  const Limits& limits_;
  metrics::Counters& counters_;
  net::BufferPool& pool_;
  MessageReader reader_{kMaxFrameBytesToNode};
  const Millis accepted_at_;
  Millis last_received_at_;
  Millis last_progress_at_;  // of writing
  std::uint64_t written_at_last_progress_ = 0;
  bool is_open_ = false;  // an Open has been received
  bool is_refill_wanted_ = false;
  bool is_finished_by_owner_ = false;

  std::uint64_t unsent() const { return send_queue().appended() - send_queue().written(); }
  bool has_free_buffers() const;
  bool is_stalled(Millis now);
  void disconnect(const metrics::Counter& reason);
  void on_received(std::string_view bytes) override;
  void before_write() override;
  void on_closed() override;
};

}  // namespace lotusyard::control
