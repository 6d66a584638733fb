// A control node's side of its sessions: it opens them, grants leases, and replicates the records of the
// group to them. It follows the replicated log through reset() and apply(). No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/change_log.h"
#include "control/connection_table.h"
#include "control/connection_transport.h"
#include "control/message.h"
#include "control/record_sender.h"
#include "control/session_table.h"
#include "metrics/counters.h"

namespace lotusyard::control {

class ControlNode {
 public:
  using Transport = ConnectionTransport;
  using ConnectionId = Transport::ConnectionId;

  struct Config {
    std::string cluster;
    NodeAddress self;
    std::uint64_t incarnation = 0;
    raft::LeaseTerms terms;
    SessionTable::Limits sessions;
    ChangeLog::Limits changes;
    std::size_t snapshot_chunk = 32U << 10;  // bytes
  };
  using ForwardHandler = std::function<void(SessionTable::SessionId session, const Forward& forward)>;
  // Returns the share of a session for a lease that ends at `lease_until` by the node's clock. Empty: the
  // node divides no budget.
  using ShareSource =
      std::function<std::optional<double>(SessionTable::SessionId session, Millis lease_until)>;

  // `transport` and `counters` must outlive the node; `started` is the time of the process's start.
  ControlNode(Config config, Transport& transport, metrics::Counters& counters, Millis started);
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // From the replicated log: the complete state as of `index`, and the change of one entry.
  void reset(Index index, Records records);
  void apply(Index index, const Change& change);
  const ChangeLog& changes() const { return changes_; }

  // The end of this node's own lease.
  void set_lease(Millis until) { lease_until_ = until; }
  // The nodes that sessions are sent. This node is left out.
  void set_nodes(std::vector<NodeAddress> nodes);
  void set_forward_handler(ForwardHandler handler) { forward_handler_ = std::move(handler); }
  void set_share_source(ShareSource source) { share_source_ = std::move(source); }

  // From the transport. A malformed message closes its connection.
  void on_connected(ConnectionId id);
  void on_message(ConnectionId id, Message&& message, Millis now);
  void on_malformed(ConnectionId id);
  void on_writable(ConnectionId id);
  void on_disconnected(ConnectionId id);

  // Removes sessions that have ended; to be called about once a second.
  void tick(Millis now) { sessions_.expire(now); }
  // For the node's next heartbeat, see SessionTable::floors().
  Floors floors(Millis now) { return sessions_.floors(now); }
  // Refuses all sessions from now on, because the process ends: they reconnect to other nodes.
  void shut_down();
  const SessionTable& sessions() const { return sessions_; }

 private:
  Config config_;
  Transport& transport_;
  metrics::Counters& counters_;
  ChangeLog changes_;
  SessionTable sessions_;
  RecordSender sender_;
  ConnectionTable connections_;
  std::vector<NodeAddress> nodes_;
  ForwardHandler forward_handler_;
  ShareSource share_source_;
  Millis lease_until_{0};
  bool is_draining_ = false;

  void on_session_message(ConnectionId id, NodeConnection& connection, const Message& message, Millis now);
  void on_open(ConnectionId id, const Open& open, Millis now);
  std::optional<RefusalReason> reason_to_refuse(const Open& open) const;
  void open_session(ConnectionId id, const Open& open, SessionTable::SessionId session, Millis now);
  void supersede(ConnectionId older);
  void on_renew(ConnectionId id, NodeConnection& connection, const Renew& renew, Millis now);
  void send_grant(ConnectionId id, const NodeConnection& connection, Millis now);
  void on_resume(ConnectionId id, NodeConnection& connection, const Resume& resume);
  void on_forward(NodeConnection& connection, const Forward& forward, Millis now);
  void on_close(ConnectionId id, const NodeConnection& connection, Millis now);
  void refuse(ConnectionId id, RefusalReason reason, Millis retry_after);
  void close_faulty(ConnectionId id, const metrics::Counter& counter);
  void close(ConnectionId id);
  void send_pending_to_all();
};

}  // namespace lotusyard::control
