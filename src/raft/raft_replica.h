// A member of a raft group: its store, its transport, its raft instance, the admission of new members and the
// state machines that share the replicated log.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "metrics/counters.h"
#include "raft/admission.h"
#include "raft/config.h"
#include "raft/peer_transport.h"
#include "raft/raft_core.h"
#include "raft/replica_identity.h"
#include "raft/replica_message.h"
#include "raft/state_machine_set.h"

namespace lotusyard::raft {

// Not thread-safe: runs on the event loop.
class RaftReplica final : private RaftCore::Delegate {
 public:
  using LogSink = PeerTransport::LogSink;

  // Is notified after the state machines have applied an entry or a snapshot.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void log_applied(std::uint64_t index) = 0;
    // The state was replaced by a snapshot, whose index is not passed.
    virtual void log_restored() = 0;
  };

  // Receives gossip frames of any peer whose hello was accepted; they need no consensus.
  using GossipHandler = std::function<void(const std::string& member, const std::string& body)>;

  // Opens the store and starts the raft instance, or requests admission if the store is empty. All references
  // and state machines must outlive it. Throws config::ConfigError or LogStoreError.
  RaftReplica(net::EventLoop& loop, metrics::Counters& counters, const Config& config,
              std::vector<ReplicatedStateMachine*> state_machines, LogSink log);
  ~RaftReplica() override;
  // See bootstrap_store().
  static void bootstrap(const Config& config) { bootstrap_store(config); }

  const Config& config() const { return config_; }
  std::uint64_t id() const { return identity_.id; }
  std::uint64_t incarnation() const { return identity_.incarnation; }
  // Begins an incarnation above the current one and `above`, which is durable on return. Throws
  // LogStoreError.
  std::uint64_t begin_new_incarnation(std::uint64_t above = 0);
  // Whether this member was admitted to the group.
  bool is_member() const { return raft_core_ != nullptr; }
  bool is_leader() const { return raft_core_ && raft_core_->is_leader(); }
  // The id of the current leader; 0: not known.
  std::uint64_t leader() const { return raft_core_ ? raft_core_->leader().id : 0; }
  std::uint64_t term() const { return raft_core_ ? raft_core_->term() : 0; }
  std::vector<RaftCore::Server> servers() const {
    return raft_core_ ? raft_core_->servers() : std::vector<RaftCore::Server>();
  }
  // Proposes an entry of a state machine. Returns false, without calling `done`, unless this is the leader.
  bool propose(const ReplicatedStateMachine& state_machine, const std::string& entry,
               RaftCore::Completion done = {});
  // Sends a message to the leader's state machine of the same name. Returns false if no leader is known or
  // nothing was sent.
  bool send_to_leader(const ReplicatedStateMachine& state_machine, const std::string& message);
  // Sets the only observer; null removes it.
  void set_observer(Observer* observer) { observer_ = observer; }
  void set_gossip_handler(GossipHandler handler) { gossip_handler_ = std::move(handler); }
  // Sends a gossip frame to whichever member listens at `address`. Returns false if nothing was sent.
  bool send_gossip(const std::string& address, const std::string& body);
  bool is_available() const { return raft_core_ && raft_core_->is_available(); }
  // The size of the store's file in bytes; 0: it cannot be read at present.
  std::size_t stored_bytes() const;

 private:
  net::EventLoop& loop_;
  metrics::Counters& counters_;
  const Config config_;
  StateMachineSet state_machines_;
  GossipHandler gossip_handler_;
  Observer* observer_ = nullptr;
  LogSink log_;
  LoopScheduler scheduler_;
  LogStore store_;
  Identity identity_;
  PeerTransport transport_;
  AdmissionClient admission_client_;
  AdmissionServer admission_server_;     // outlives the RaftCore, which calls back while it is destroyed
  std::unique_ptr<RaftCore> raft_core_;  // null until this member is admitted

  void start_raft();
  void receive(const Hello& from, Frame&& frame);
  void receive_consensus(const Hello& from, const std::string& body);
  std::string find_address(const Hello& from) const;
  void receive_message(const Hello& from, const std::string& body);
  void handle(const Hello& from, const LeaderMessage& message);
  void handle(const Hello& from, const AdmissionRequest& request);
  void handle(const Hello& from, const AdmissionResponse& response);
  void handle(const Hello& from, MessageError error);
  void join(std::uint64_t id);

  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void send(std::uint64_t to, const std::string& address, const raft_message& message) override;
  void on_store_failure(const std::string& reason) override;
  void on_store_unavailable(sqlite::ResultKind kind, const std::string& reason) override;
  void on_store_available() override;
};

}  // namespace lotusyard::raft
