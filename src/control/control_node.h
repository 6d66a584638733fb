// A control node's end of its sessions: which messages it sends to whom. It follows the agreed log through
// `reset` and `applied`, serves each connection a snapshot or deltas from its own position on, and grants
// leases. Memory for each connection is bounded: what a connection gets next is read from the shared change
// log when its transport has room. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/change_log.h"
#include "control/session_table.h"
#include "metrics/counters.h"

namespace lotusyard::control {

class ControlNode {
 public:
  using LinkId = std::uint64_t;

  // The connections, by the number that the transport gave each.
  class Transport {
   public:
    virtual ~Transport() = default;
    virtual void send(LinkId link, const std::string& frame) = 0;
    virtual bool has_room(LinkId link) const = 0;  // whether a further snapshot chunk or delta may be queued
    virtual void end(LinkId link) = 0;             // once what was sent is out; `ended` is not called for it
  };
  struct Config {
    std::string cluster;
    NodeAddress self;
    std::uint64_t life = 0;
    raft::LeaseTerms terms;
    SessionTable::Limits sessions;
    ChangeLog::Limits changes;
    std::size_t snapshot_chunk = 32U << 10;
  };
  using Forwarded = std::function<void(SessionTable::SessionId session, const Forward& forward)>;
  // The share of a session for a lease that ends then by the node's clock; nothing: the node divides nothing.
  using Divide = std::function<std::optional<double>(SessionTable::SessionId session, Millis lease_until)>;

  ControlNode(Config config, Transport& transport, metrics::Counters& counters, Millis started);

  // From the agreed log.
  void reset(Index index, Records records);
  void applied(Index index, const Change& change);
  const ChangeLog& changes() const { return changes_; }

  // From the group: until when this node's own lease holds, and which nodes there are.
  void set_lease(Millis until) { lease_until_ = until; }
  void set_nodes(std::vector<NodeAddress> nodes);
  void when_forwarded(Forwarded forwarded) { forwarded_ = std::move(forwarded); }

  void divide_by(Divide divide) { divide_ = std::move(divide); }

  // From the transport.
  void opened(LinkId link);
  void received(LinkId link, Message&& message, Millis now);
  void malformed(LinkId link);  // what came cannot be read: counted, and the link ends
  void writable(LinkId link);   // there is room again
  void ended(LinkId link);

  void tick(Millis now);  // forgets sessions that are over; about once a second
  Floors floors(Millis now) { return sessions_.floors(now); }
  void leave();  // this node is going to end: its sessions are to move
  const SessionTable& sessions() const { return sessions_; }

 private:
  struct Link {
    SessionTable::SessionId session = 0;  // 0: not open yet
    Index cursor = 0;                     // what goes out next is behind this
    Index sent = 0;  // the furthest that the replica can be: all that was sent, or was there before
    std::shared_ptr<const ChangeLog::Snapshot> snapshot;  // under way
    std::size_t snapshot_sent = 0;
    std::uint64_t renewed = 0;  // the last sequence number
    double forwards = 0;        // how many words it may still forward, as of `forwards_at`
    Millis forwards_at{0};
  };
  Config config_;
  Transport& transport_;
  metrics::Counters& counters_;
  ChangeLog changes_;
  SessionTable sessions_;
  std::vector<NodeAddress> nodes_;
  Forwarded forwarded_;
  Divide divide_;
  std::map<LinkId, Link> links_;
  std::map<SessionTable::SessionId, LinkId> link_of_;
  Millis lease_until_{0};
  bool leaving_ = false;

  void on_open(LinkId id, Link& link, const Open& open, Millis now);
  void on_renew(LinkId id, Link& link, const Renew& renew, Millis now);
  void on_resume(LinkId id, Link& link, const Resume& resume);
  void on_forward(Link& link, const Forward& forward, Millis now);
  void on_close(LinkId id, const Link& link, Millis now);
  void refuse(LinkId id, RefusalReason reason, Millis retry_after);
  void fault(LinkId id, const metrics::Counter& counter);  // counted, and the link ends
  void drop(LinkId id);                                    // forgets the link, and ends it
  void supersede(SessionTable::SessionId session, LinkId newer);
  void pump(LinkId id, Link& link);  // sends what is next for as long as there is room
  void pump_all();
  bool needs_snapshot(const Link& link) const;
  void send_chunk(LinkId id, Link& link);
  bool send_delta(LinkId id, Link& link);  // false: there is none
};

}  // namespace lotusyard::control
