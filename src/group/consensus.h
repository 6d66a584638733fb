// An agreed log among the members of a group: libraft on the program's own loop, links and store. What the
// library leaves to its user (I/O, time, chance) is met here and nowhere else.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "group/raft_c.h"
#include "group/store.h"
#include "net/loop.h"

namespace lotusyard::group {

using robinfold::Millis;

class Consensus {
 public:
  class User {
   public:
    virtual ~User() = default;
    virtual void applied(std::uint64_t index, const std::string& entry) = 0;
    virtual std::string snapshot() = 0;
    virtual bool restore(const std::string& snapshot) = 0;
    virtual void send(std::uint64_t to, const std::string& address, const raft_message& message) = 0;
    // Nothing more can be promised: its store fails, or holds what this program cannot read.
    virtual void failed(const std::string& why) = 0;
  };
  using Server = StoredServer;  // role: the library's

  // Each throws StoreError if the store does not serve.
  Consensus(net::Loop& loop, Store& store, User& user, std::uint64_t id, const std::string& address,
            Millis election);
  ~Consensus();
  static void found(Store& store,
                    const std::vector<Server>& servers);  // the first entry of a new group's log

  void receive(std::uint64_t from, const std::string& address, raft_message&& message);
  bool leads() const { return !failed_ && raft_state(const_cast<raft*>(&raft_)) == RAFT_LEADER; }
  Server leader() const;  // id 0: not known
  std::uint64_t term() const { return raft_.current_term; }
  std::vector<Server> servers() const;
  // At the one that leads; else false. `done` tells whether it was agreed upon; if not, it still may be.
  bool propose(const std::string& entry, std::function<void(bool)> done);
  bool add(const Server& server, std::function<void(bool)> done);  // one change at a time
  bool assign(std::uint64_t id, int role, std::function<void(bool)> done);
  bool remove(std::uint64_t id, std::function<void(bool)> done);
  bool has_failed() const { return failed_; }

 private:
  net::Loop& loop_;
  Store& store_;
  User& user_;
  raft raft_{};
  raft_io io_{};
  raft_fsm fsm_{};
  std::mt19937_64 random_;
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb recv_ = nullptr;
  Millis pace_{100};
  net::Loop::TimerId ticks_{}, drains_{};
  std::deque<std::function<void()>> later_;
  bool failed_ = false, closed_ = false;

  struct Calls;
  struct Change;
  template <typename Write>
  int kept(const Write& write);  // a code of the library's
  void fail(const std::string& why);
  void defer(std::function<void()> call);
  void drain();
  void tick();
  void close();
  bool change(const std::function<int(raft_change*)>& start, std::function<void(bool)> done);
};

}  // namespace lotusyard::group
