// The sessions that a control node holds: their admission, their leases, and the log indexes that all of them
// together have reached.
//
// The safety of the group relies on three rules that this class enforces:
//   1. a session's lease ends, by any clock within the configured drift, before the node's own lease does;
//   2. once the node has reported that all its sessions have applied index N, no session that has applied
//      less is granted a lease;
//   3. a session counts until its lease has ended, and for quiescence until the longest call that it can have
//      started under that lease has ended as well, whatever happened to its connection.
// No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "control/change_log.h"
#include "control/message.h"
#include "control/offline_floor.h"
#include "control/token_bucket.h"

namespace lotusyard::control {

// What a node reports to the group about all its sessions.
struct Floors {
  Index applied = 0;         // every session that can hold a lease has applied everything up to here
  Index quiesced_index = 0;  // none of them has a call in flight that a change up to here forbids
  // Every invoker that may use hosts, with a lease or without one, has applied everything up to here.
  Index followed = 0;
  std::size_t sessions = 0;  // with a connection
};

class SessionTable {
 public:
  using SessionId = std::uint64_t;  // 0: none
  struct Limits {
    std::size_t max_sessions = 1200;  // with a connection, or without one as long as they count
    double opens_per_second = 200;
    double open_burst = 100;
  };
  // The result of open(). The fields beside `status` are set depending on it.
  struct Admission {
    enum class Status {
      admitted,
      refused,
      malformed  // the position is older than one that the same incarnation has reported
    };
    Status status = Status::admitted;
    SessionId session = 0;                        // if admitted
    RefusalReason refusal = RefusalReason::full;  // if refused
    Millis retry_after{0};                        // if refused
  };

  // `log` must outlive the table. `started` is the time of the process's start: sessions of an earlier
  // process of this node may hold leases for terms.presumed_dead_after() from then on, and nothing is
  // reported before.
  SessionTable(const raft::LeaseTerms& terms, Limits limits, const ChangeLog& log, Millis started);

  // Opens a session for a connection. The same incarnation of an invoker continues its session; if that still
  // has another connection, the caller closes it without a call of disconnected().
  Admission open(const std::string& invoker, std::uint64_t incarnation, Index position, Millis now);
  // Records the progress of a session. Returns false, and changes nothing, if the report is malformed: it
  // is lower than an earlier one, is ahead of the node, or `quiesced_index` exceeds `applied`.
  bool report(SessionId session, Index applied, Index quiesced_index);
  // Grants a lease that begins before `now`, and returns its longest duration. 0: no lease, because the node
  // has none, or because the session is behind what the node has reported. `node_lease_until` is the end of
  // the node's own lease.
  //
  // While the node had no lease, the group may have continued without it, up to any index below that of the
  // entry that renewed the lease. The first grant under a new lease of the node therefore treats everything
  // that this node has applied as reported; the caller applies that entry first.
  Millis grant(SessionId session, Millis node_lease_until, Millis now);
  // The connection has ended; the lease continues.
  void disconnected(SessionId session);
  // The invoker's process has ended and does not use its lease any more.
  void closed(SessionId session, Millis now);
  // Removes the sessions that do not count any more.
  void expire(Millis now);

  // For the node's next heartbeat. Binding, see rule 2.
  Floors floors(Millis now);
  std::size_t connected() const { return connected_; }
  std::size_t size() const { return sessions_.size(); }
  bool known(SessionId session) const { return sessions_.count(session) != 0; }
  // By the node's clock, with the drift included. 0: it has had no lease.
  Millis lease_until(SessionId session) const;

 private:
  struct Session {
    std::string invoker;
    std::uint64_t incarnation = 0;
    bool connected = false;
    bool closed = false;  // the invoker's process has ended
    Index applied = 0;
    Index quiesced_index = 0;
    std::optional<Millis> lease_until;  // empty: it has had no lease
  };
  using Sessions = std::map<SessionId, Session>;
  using InvokerKey = std::pair<std::string, std::uint64_t>;  // name and incarnation

  raft::LeaseTerms terms_;
  Limits limits_;
  const ChangeLog& log_;
  Millis started_;
  Sessions sessions_;
  std::map<InvokerKey, SessionId> by_invoker_;
  SessionId last_id_ = 0;
  std::size_t connected_ = 0;
  Index reported_ = 0;       // the largest `applied` that floors() has returned
  Millis granted_under_{0};  // the latest end of the node's lease that was passed to grant()
  OfflineFloor offline_floor_;
  TokenBucket open_tokens_;

  std::optional<Admission> reason_not_to_admit(const InvokerKey& key, Index position, Millis now);
  bool is_full(Millis now);
  SessionId connect(const InvokerKey& key, Index position);
  bool may_hold_lease(const Session& session) const;
  Millis lease_duration(Millis node_lease_until, Millis now) const;
  Index known_floor() const;
  bool counts_for_applied(const Session& session, Millis now) const;
  bool counts_for_quiesced(const Session& session, Millis now) const;
  bool earlier_process_may_count(Millis now) const;
  void remove(Sessions::iterator session);
  void record_node_lease(Millis node_lease_until, Millis now);
  // The longest time that a call stays in flight, by any member's clock.
  Millis max_call_duration() const { return terms_.max_attempt_time * (1 + terms_.clock_drift); }
};

}  // namespace lotusyard::control
