// The admin endpoint: HTTP/1.1 with one request for each connection. AdminOperations decides
// what a request does.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "admin/admin_connection.h"
#include "admin/admin_operations.h"
#include "admin/admin_router.h"
#include "admin/http_message.h"
#include "metrics/counters.h"
#include "net/buffer.h"
#include "net/event_loop.h"
#include "net/socket.h"

namespace lotusyard::admin {

// Listens and owns the connections. They are served ahead of clients, so that operators get through under any
// load. Loop, counters and operations must outlive it.
class AdminEndpoint final : private net::EventHandler, private AdminConnection::Owner {
 public:
  AdminEndpoint(net::EventLoop& loop, metrics::Counters& counters, AdminOperations& operations,
                std::size_t max_connections);
  ~AdminEndpoint() override;
  AdminEndpoint(const AdminEndpoint&) = delete;
  AdminEndpoint& operator=(const AdminEndpoint&) = delete;

  // Returns false if the address cannot be listened on.
  bool listen(const std::string& address);
  std::string address() const { return net::bound_address(listener_); }

  // Whether there is no connection.
  bool quiet() const { return connections_.empty(); }

 private:
  using Connections = std::list<std::shared_ptr<AdminConnection>>;

  net::EventLoop& loop_;
  metrics::Counters& counters_;
  AdminRouter router_;
  std::size_t max_connections_;
  net::BufferPool pool_;  // of its own, so that clients' unsent bytes do not use up its buffers
  net::Socket listener_;
  net::EventLoop::TimerId accept_timer_{};
  Connections connections_;  // oldest first

  void ready(short events) override;
  void on_request(AdminConnection& connection, const Request& request) override;
  void on_rejected(HttpStatus status) override;
  void on_closed(AdminConnection& connection) override;

  void resume_accepting();
  void pause_accepting();
  void add_connection(net::Socket socket);
  void evict_connection();
};

}  // namespace lotusyard::admin
