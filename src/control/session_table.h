// The sessions that a control node holds: admission, leases, and what all of them together have applied.
//
// The safety argument rests on three rules that are kept here:
//   1. a session's lease ends, by any clock within the stated drift, before the node's own lease does;
//   2. once the node has reported that all its sessions applied index N, no session that has applied less is
//      ever granted a lease;
//   3. a session counts until its lease is over, and for what is settled until the longest call that it can
//      have begun under that lease is over as well, whatever became of its connection.
// No I/O; the time is passed in.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "control/change_log.h"
#include "control/message.h"
#include "control/offline_floor.h"

namespace lotusyard::control {

// What a node tells the group of all its sessions.
struct Floors {
  Index applied = 0;   // every session that can hold a lease has applied everything up to here
  Index settled = 0;   // and nothing that a change up to here forbids is under way at any of them
  Index followed = 0;  // every invoker that may use hosts, with a lease or without, has applied this much
  std::size_t sessions = 0;  // connected ones
};

class SessionTable {
 public:
  struct Limits {
    std::size_t sessions = 1200;    // open ones, and closed ones that still count
    double opens_per_second = 200;  // admission, as a token bucket
    double opens_at_once = 100;
  };
  using SessionId = std::uint64_t;  // 0: none
  struct Admission {
    SessionId session = 0;
    bool malformed = false;  // the position is older than what the same incarnation reported before
    RefusalReason refusal = RefusalReason::full;  // holds where there is no session, and nothing malformed
    Millis retry_after{0};
  };

  // `started`: when this process did. Sessions of an earlier process of this node may hold leases until
  // (lease + last call) later, so that nothing is reported before.
  SessionTable(const raft::LeaseTerms& terms, Limits limits, const ChangeLog& log, Millis started);

  // A connection asks for a session. The same incarnation of an invoker continues its earlier one; if that
  // has a connection still, the caller ends it without a call of `disconnected`.
  Admission open(const std::string& invoker, std::uint64_t incarnation, Index position, Millis now);
  // False: the report is malformed (it goes back, is ahead of the node, or settled exceeds applied); nothing
  // has changed.
  bool report(SessionId session, Index applied, Index settled);
  // How long a lease may last that begins before `now`; `node_lease_until`: the end of the node's own. 0: no
  // lease, for the node has none, or the session is behind what the node has reported.
  //
  // While the node's own lease had lapsed, and before its first one, the group may have gone on without this
  // node, up to any index below that of the entry that gave it its new lease. So the first grant under a new
  // lease of the node takes all that was applied here for reported; the caller applies that entry first.
  Millis grant(SessionId session, Millis node_lease_until, Millis now);
  void disconnected(SessionId session);        // its lease runs on
  void closed(SessionId session, Millis now);  // the invoker has given its lease up
  void expire(Millis now);                     // forgets sessions that count no more

  // For the next sign of life of the node. Binding: see rule 2.
  Floors floors(Millis now);
  std::size_t connected() const { return connected_; }
  std::size_t size() const { return sessions_.size(); }
  bool known(SessionId session) const { return sessions_.count(session) != 0; }
  Millis lease_until(SessionId session) const;  // by the node's clock, drift included; 0: none

 private:
  struct Session {
    std::string invoker;
    std::uint64_t incarnation = 0;
    bool connected = false;
    bool closed = false;  // its invoker has ended
    Index applied = 0, settled = 0;
    std::optional<Millis> lease_until;  // nothing: it never had one
  };
  raft::LeaseTerms terms_;
  Limits limits_;
  const ChangeLog& log_;
  Millis started_;
  std::map<SessionId, Session> sessions_;
  std::map<std::pair<std::string, std::uint64_t>, SessionId> by_invoker_;
  SessionId last_id_ = 0;
  std::size_t connected_ = 0;
  Index reported_ = 0;
  Millis granted_under_{0};  // the latest end of the node's own lease under which `grant` was asked
  OfflineFloor offline_floor_;
  double tokens_ = 0;
  Millis filled_at_{0};

  bool counts_for_applied(const Session& session, Millis now) const;
  Index known_floor() const;
  bool counts_for_settled(const Session& session, Millis now) const;
  Millis take_token(Millis now);  // 0: one was to be had; else when to try again
  void forget(std::map<SessionId, Session>::iterator session);
  void require_present(Millis node_lease_until, Millis now);
  Millis last_call() const {
    return terms_.max_attempt_time * (1 + terms_.clock_drift);
  }  // by any member's clock
};

}  // namespace lotusyard::control
