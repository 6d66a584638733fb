// The fleet's view at one member: its links, its timer, its lines and what operators are shown.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "app/app.h"
#include "gossip/swim_protocol.h"
#include "raft/raft_replica.h"

namespace lotusyard::gossip {

class GossipService {
 public:
  using LogSink = std::function<void(const std::string& text)>;
  // What this member itself sees of its hosts; asked now and then.
  using SeesFailure = std::function<bool(const std::string& host)>;  // whether it is seen to fail
  GossipService(const InvokerServices& wiring, const raft::Config& config, raft::RaftReplica& member,
                SeesFailure fails, LogSink note);
  ~GossipService();

  void serve();                         // this member takes calls
  void leave();                         // it ends on purpose
  std::size_t present_members() const;  // members that are here, as far as this one knows
  void set_change_handler(std::function<void()> changed) { change_handler_ = std::move(changed); }
  nlohmann::json status_to_json() const;

 private:
  InvokerServices services_;
  const raft::Config config_;
  raft::RaftReplica& replica_;
  SeesFailure sees_failure_;
  LogSink log_;
  std::optional<SwimProtocol> swim_;  // none: this member has no place in the group yet
  std::function<void()> change_handler_;
  net::EventLoop::TimerId period_timer_{}, observation_timer_{};
  bool serving_ = false;
  std::uint64_t incarnation_ = 0;

  void start_protocol();
  void run_period();
  void observe_hosts();
  void handle_message(const std::string& member, const std::string& body);
  void send_outgoing();
};

}  // namespace lotusyard::gossip
