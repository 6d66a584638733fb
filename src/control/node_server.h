// The sockets of a control node: accepts the connections of invokers, passes their messages to the
// ControlNode and writes its frames. The number of connections and what waits unsent on all of them are
// bounded.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_node.h"
#include "control/server_connection.h"
#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard::control {

class NodeServer final : public ConnectionTransport,
                         private ServerConnection::Owner,
                         private net::EventHandler {
 public:
  using ConnectionId = ConnectionTransport::ConnectionId;
  struct Limits {
    ServerConnection::Limits connection;        // `silence_timeout` is set from the next field
    double silence_in_leases = 2;               // without any message on an open connection
    std::size_t spare_connections = 200;        // beyond the sessions, so that invokers can be refused
    std::size_t max_pooled_bytes = 128U << 20;  // unsent on all connections
  };

  // `loop` and `counters` must outlive the server.
  NodeServer(net::EventLoop& loop, metrics::Counters& counters, ControlNode::Config config)
      : NodeServer(loop, counters, std::move(config), Limits()) {}
  NodeServer(net::EventLoop& loop, metrics::Counters& counters, ControlNode::Config config, Limits limits);
  ~NodeServer() override;  // must not run inside of a call of the node
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;

  // Returns false if the address cannot be listened on.
  bool listen(const std::string& address);
  std::string address() const { return net::bound_address(listener_); }
  ControlNode& node() { return node_; }
  const ControlNode& node() const { return node_; }
  std::size_t connection_count() const { return connections_.size(); }
  // The bytes of buffers that all connections use.
  std::size_t pooled() const { return pool_.blocks_in_use() * net::BufferPool::kBlockSize; }

  // For the node.
  void send(ConnectionId id, const std::string& frame) override;
  bool has_room(ConnectionId id) const override;
  void close(ConnectionId id) override;

 private:
  net::EventLoop& loop_;
  metrics::Counters& counters_;
  Limits limits_;
  std::size_t max_connections_;
  net::BufferPool pool_;
  net::Socket listener_;
  std::map<ConnectionId, std::shared_ptr<ServerConnection>> connections_;
  ConnectionId last_id_ = 0;
  std::vector<ConnectionId> refills_;  // connections that are to be refilled
  net::EventLoop::TimerId accept_timer_{};
  net::EventLoop::TimerId check_timer_{};
  net::EventLoop::TimerId refill_timer_{};
  net::EventLoop::TimerId tick_timer_{};
  ControlNode node_;

  void ready(short events) override;
  void accept(net::Socket socket);
  void pause_accepting();
  void watch_listener();
  void check_timeouts();
  void tick();
  void refill();
  ServerConnection* find(ConnectionId id) const;

  // From the connections.
  void on_message(ConnectionId id, Message&& message, Millis now) override;
  void on_malformed(ConnectionId id) override { node_.on_malformed(id); }
  void refill_later(ConnectionId id) override;
  void on_writable(ConnectionId id) override { node_.on_writable(id); }
  void on_closed(ConnectionId id, bool by_owner) override;
};

}  // namespace lotusyard::control
