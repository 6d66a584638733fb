// A raft instance: libraft running on the program's scheduler, transport and store. This class implements the
// I/O, time and randomness that libraft leaves to its user; no other part of the program calls libraft.
//
// libraft gives up permanently after the first write that fails. A failed write therefore ends the libraft
// instance, which sends nothing from then on, and a new instance starts from the durable state once the store
// accepts writes again. What was applied stays applied: it was committed, and is skipped when the new
// instance applies it again.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "raft/libraft.h"
#include "raft/log_store.h"
#include "raft/match_tracker.h"
#include "raft/raft_requests.h"
#include "raft/scheduler.h"
#include "sqlite/result.h"

namespace lotusyard::raft {

using policy::Millis;

// Not thread-safe.
class RaftCore {
 public:
  // The owner of a RaftCore.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // Applies a committed entry; called at most once for each index, in ascending order.
    virtual void apply(std::uint64_t index, const std::string& entry) = 0;
    // Returns the state after the last entry that was applied, serialized.
    virtual std::string snapshot() = 0;
    // Replaces the state. Returns false if the snapshot cannot be read.
    virtual bool restore(const std::string& snapshot) = 0;
    // Sends a message on a best-effort basis; it is sent again until it is answered.
    virtual void send(std::uint64_t to, const std::string& address, const raft_message& message) = 0;
    // Permanent: the store is corrupt, or holds what this version of the program cannot read.
    virtual void on_store_failure(const std::string& reason) = 0;
    // Temporary: this replica does not vote, lead or acknowledge until on_store_available() is called.
    virtual void on_store_unavailable(sqlite::ResultKind kind, const std::string& reason) = 0;
    virtual void on_store_available() = 0;
  };
  using Server = StoredServer;
  using Completion = raft::Completion;

  // `scheduler`, `store` and `delegate` must outlive the RaftCore. Throws LogStoreError if the store has
  // failed permanently; after a transient failure the RaftCore starts later by itself.
  RaftCore(Scheduler& scheduler, LogStore& store, Delegate& delegate, std::uint64_t id,
           const std::string& address, Millis election_timeout, std::uint64_t seed = std::random_device{}());
  ~RaftCore();
  // Writes the first entry of a new group's log. All founding members must pass the same servers. Throws
  // LogStoreError.
  static void bootstrap(LogStore& store, const std::vector<Server>& servers);

  // Handles a message of the server `from`, and takes ownership of its memory.
  void receive(std::uint64_t from, const std::string& address, raft_message&& message);
  bool is_leader() const { return is_available() && raft_state(const_cast<::raft*>(&raft_)) == RAFT_LEADER; }
  // The current leader; its id is 0 if it is not known.
  Server leader() const;
  std::uint64_t term() const { return store_.term(); }
  std::vector<Server> servers() const;

  // These succeed at the leader only. If they return false, nothing was proposed and `done` is not called.
  bool propose(const std::string& entry, Completion done);
  // Changes of the configuration: only one may be in progress. `role` is one of libraft's roles.
  bool add(const Server& server, Completion done);
  bool assign(std::uint64_t id, int role, Completion done);
  bool remove(std::uint64_t id, Completion done);

  // Whether the store has failed permanently.
  bool has_failed() const { return failed_; }
  bool is_available() const { return running_ && !closing_ && !suspended_ && !failed_; }

 private:
  using TimerId = Scheduler::TimerId;
  struct LibraftCallbacks;

  Scheduler& scheduler_;
  LogStore& store_;
  Delegate& delegate_;
  const std::uint64_t id_;
  const std::string address_;
  const Millis election_timeout_;
  struct ::raft raft_ {};
  raft_io io_{};
  raft_fsm fsm_{};
  std::mt19937_64 random_;
  raft_io_tick_cb tick_callback_ = nullptr;
  raft_io_recv_cb receive_callback_ = nullptr;
  Millis tick_interval_{100};
  TimerId tick_timer_{};
  TimerId deferred_timer_{};
  TimerId restart_timer_{};
  std::deque<std::function<void()>> deferred_;  // calls to be made outside of libraft's own calls
  sqlite::Backoff backoff_;
  MatchTracker match_tracker_;
  std::uint64_t applied_index_ = 0;   // by any instance: the index of the delegate's state
  std::vector<Server> last_servers_;  // of the last instance that ended
  bool failed_ = false;               // permanently
  bool suspended_ = false;            // a write failed; nothing is sent until a new instance runs
  bool running_ = false;              // between raft_init() and the end of raft_close()
  bool closing_ = false;              // raft_close() was called and has not ended

  void set_io_callbacks();
  void set_state_machine_callbacks();
  // These return a status code of libraft.
  template <typename Write>
  int persist(const Write& write);
  int handle_store_error(const LogStoreError& error);
  int start();
  void fail(const std::string& reason);
  void stop_instance();
  void on_instance_closed();
  void restart();
  void schedule_restart();
  void defer(std::function<void()> call);
  void run_deferred();
  void tick();
  void close();
};

}  // namespace lotusyard::raft
