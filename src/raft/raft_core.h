// An agreed log among the members of a group: libraft on the program's own loop, links and store. What the
// library leaves to its user (I/O, time, chance) is met here and nowhere else.
//
// The library gives up for good on the first write that fails. So a failed write ends the library's instance,
// which sends nothing any more, and a fresh one starts from what is durable once the store takes writes
// again. What had been applied stays applied: it was agreed upon, and is skipped when it comes again.
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
#include "raft/scheduler.h"
#include "sqlite/result.h"

namespace lotusyard::raft {

using policy::Millis;

class RaftCore {
 public:
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void apply(std::uint64_t index, const std::string& entry) = 0;
    virtual std::string snapshot() = 0;
    virtual bool restore(const std::string& snapshot) = 0;
    virtual void send(std::uint64_t to, const std::string& address, const raft_message& message) = 0;
    // Nothing more can be promised: its store is damaged, or holds what this program cannot read.
    virtual void on_store_failure(const std::string& why) = 0;
    // The store fails for now: this replica does not vote, lead or acknowledge until it is `available` again.
    virtual void unavailable(sqlite::ResultKind kind, const std::string& why) = 0;
    virtual void available() = 0;
  };
  using Server = StoredServer;  // role: the library's

  // Throws StoreError if the store is damaged; one that fails for now is tried again.
  RaftCore(Scheduler& scheduler, LogStore& store, Delegate& user, std::uint64_t id,
           const std::string& address, Millis election, std::uint64_t seed = std::random_device{}());
  ~RaftCore();
  static void bootstrap(LogStore& store,
                        const std::vector<Server>& servers);  // the first entry of a new group's log

  void receive(std::uint64_t from, const std::string& address, raft_message&& message);
  bool is_leader() const { return is_available() && raft_state(const_cast<::raft*>(&raft_)) == RAFT_LEADER; }
  Server leader() const;  // id 0: not known
  std::uint64_t term() const { return store_.term(); }
  std::vector<Server> servers() const;
  // At the one that leads; else false. `done` tells whether it was agreed upon; if not, it still may be.
  bool propose(const std::string& entry, std::function<void(bool)> done);
  bool add(const Server& server, std::function<void(bool)> done);  // one change at a time
  bool assign(std::uint64_t id, int role, std::function<void(bool)> done);
  bool remove(std::uint64_t id, std::function<void(bool)> done);
  bool has_failed() const { return failed_; }
  bool is_available() const { return running_ && !closing_ && !suspended_ && !failed_; }

 private:
  using TimerId = Scheduler::TimerId;
  Scheduler& scheduler_;
  LogStore& store_;
  Delegate& delegate_;
  const std::uint64_t id_;
  const std::string address_;
  const Millis election_;
  struct ::raft raft_ {};
  raft_io io_{};
  raft_fsm fsm_{};
  std::mt19937_64 random_;
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb recv_ = nullptr;
  Millis tick_interval_{100};
  TimerId tick_timer_{}, deferred_timer_{}, restarts_{};
  std::deque<std::function<void()>> deferred_;
  sqlite::Backoff backoff_;
  MatchTracker matches_;
  std::uint64_t applied_ = 0;         // by any instance: the user's state stands there
  std::vector<Server> last_servers_;  // as the instance that ended knew them
  bool failed_ = false;               // for good
  bool suspended_ = false;            // a write failed; nothing goes out until a fresh instance runs
  bool running_ = false;              // between raft_init and the end of raft_close
  bool closing_ = false;              // raft_close was called, and has not ended

  struct LibraftCallbacks;
  struct MembershipChange;
  void set_callbacks();
  template <typename Write>
  int persist(const Write& write);  // a code of the library's
  int store_failed(const LogStoreError& fault);
  void fail(const std::string& why);
  int start();  // a code of the library's
  void halt();
  void halted();
  void restart();
  void restart_later();
  void defer(std::function<void()> call);
  void run_deferred();
  void tick();
  void close();
  bool change(const std::function<int(raft_change*)>& start, std::function<void(bool)> done);
};

}  // namespace lotusyard::raft
