// One member of a group: its store, its links and the agreed log, for the parts that decide by them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/counters.h"
#include "raft/config.h"
#include "raft/peer_transport.h"
#include "raft/raft_core.h"
#include "raft/replicated_state_machine.h"

namespace lotusyard::raft {

class RaftReplica final : private RaftCore::Delegate {
 public:
  using LogSink = PeerTransport::LogSink;

  // Told of the log as a whole, once all parts have taken in what came.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void log_applied(std::uint64_t index) = 0;
    virtual void log_restored() = 0;  // the state was replaced by a snapshot of an index not told
  };

  // A frame of the kind `view`, from whoever was let in; it needs no agreement.
  using GossipHandler = std::function<void(const std::string& member, const std::string& body)>;

  // The parts outlive it. Throws config::ConfigError or StoreError.
  RaftReplica(net::EventLoop& loop, core::Counters& counters, const Config& config,
              std::vector<ReplicatedStateMachine*> parts, LogSink note);
  ~RaftReplica() override;
  static void bootstrap(
      const Config& config);  // begins this member's store; once, before a group's first start

  const Config& config() const { return config_; }
  std::uint64_t id() const { return identity_.id; }
  std::uint64_t incarnation() const { return identity_.incarnation; }
  // Larger than the present one and `above`, and kept before it is told; throws StoreError.
  std::uint64_t begin_new_incarnation(std::uint64_t above = 0);
  bool is_member() const { return raft_core_ != nullptr; }
  bool is_leader() const { return raft_core_ && raft_core_->is_leader(); }
  std::uint64_t leader() const { return raft_core_ ? raft_core_->leader().id : 0; }
  std::uint64_t term() const { return raft_core_ ? raft_core_->term() : 0; }
  std::vector<RaftCore::Server> servers() const;
  // At the one that leads; false elsewhere. `done`: whether it was agreed upon, as far as is known here.
  bool propose(const ReplicatedStateMachine& part, const std::string& entry,
               std::function<void(bool)> done = {});
  // False: nobody is known to lead, or nothing goes out there.
  bool send_to_leader(const ReplicatedStateMachine& part, const std::string& word);
  void set_observer(Observer* observer) { observer_ = observer; }  // one; null: none
  void set_gossip_handler(GossipHandler heard) { gossip_handler_ = std::move(heard); }
  bool send_gossip(const std::string& address, const std::string& body);  // to whoever listens there
  bool is_available() const { return raft_core_ && raft_core_->is_available(); }
  std::size_t stored_bytes() const;  // bytes of the store's file; 0: it cannot be read just now

 private:
  net::EventLoop& loop_;
  core::Counters& counters_;
  const Config config_;
  std::vector<ReplicatedStateMachine*> state_machines_;
  GossipHandler gossip_handler_;
  Observer* observer_ = nullptr;
  LogSink log_;
  LoopScheduler scheduler_;
  LogStore store_;
  Identity identity_;
  PeerTransport transport_;
  std::unique_ptr<RaftCore> raft_core_;
  net::EventLoop::TimerId admission_timer_{};
  std::size_t admission_requests_ = 0;
  bool changing_ = false;

  void start_raft();
  void request_admission();
  void handle_admission_request(const std::string& name, const std::string& address);
  void assign_role(std::uint64_t id, const std::string& address, int role);
  void receive(const Hello& from, Frame&& frame);
  void handle_message(const Hello& from, const std::string& body);

  ReplicatedStateMachine* find_state_machine(const std::string& kind) const;
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void send(std::uint64_t to, const std::string& address, const raft_message& message) override;
  void on_store_failure(const std::string& why) override;
  void unavailable(sqlite::ResultKind kind, const std::string& why) override;
  void available() override;
};

}  // namespace lotusyard::raft
