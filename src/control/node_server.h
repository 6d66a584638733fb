// The sockets of a control node: accepts the sessions of invokers, passes their messages to the ControlNode
// and writes its frames. Everything that a connection can take up is bounded: how many there are, what waits
// unsent on each, and how long each may be silent or take nothing.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_node.h"
#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard::control {

class NodeServer final : public ControlNode::Transport, private net::EventHandler {
 public:
  using LinkId = ControlNode::LinkId;
  struct Limits {
    std::size_t spare_links = 200;    // connections beyond the sessions, so that more can be told a refusal
    std::size_t unsent = 64U << 10;   // bytes that wait on one link; with more no chunk or delta is added
    std::size_t pooled = 128U << 20;  // bytes that wait on all links together
    Millis open_within{3000};         // from the connection to its Open
    Millis stalled_after{10000};      // bytes wait, and the peer takes none of them
    double silent_leases = 2;         // without any message
  };

  NodeServer(net::EventLoop& loop, metrics::Counters& counters, ControlNode::Config config)
      : NodeServer(loop, counters, std::move(config), Limits()) {}
  NodeServer(net::EventLoop& loop, metrics::Counters& counters, ControlNode::Config config, Limits limits);
  ~NodeServer() override;  // never from inside a call of the node
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  bool listen(const std::string& address);
  std::string address() const { return net::bound_address(listener_); }
  ControlNode& node() { return node_; }
  const ControlNode& node() const { return node_; }
  std::size_t links() const { return links_.size(); }
  std::size_t pooled() const {
    return pool_.blocks_in_use() * net::BufferPool::block_size;
  }  // bytes held by all links

  // For the node.
  void send(LinkId link, const std::string& frame) override;
  bool has_room(LinkId link) const override;
  void end(LinkId link) override;

 private:
  class Link;
  net::EventLoop& loop_;
  metrics::Counters& counters_;
  Limits limits_;
  std::size_t most_links_;
  Millis silent_after_;
  net::BufferPool pool_;
  net::Socket listener_;
  std::map<LinkId, std::shared_ptr<Link>> links_;
  LinkId last_id_ = 0;
  std::vector<LinkId> refills_;  // links that are empty and for which the node has more
  net::EventLoop::TimerId accept_timer_{}, check_timer_{}, refill_timer_{}, tick_timer_{};
  ControlNode node_;

  void ready(short events) override;
  void accept(net::Socket socket);
  void pause_accepting();
  void watch_listener();
  void check_links();
  void tick();
  void refill_later(LinkId link);
  void refill();
  Link* find(LinkId link) const;
};

}  // namespace lotusyard::control
