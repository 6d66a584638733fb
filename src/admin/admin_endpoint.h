// The admin endpoint: HTTP/1.1, one call to a connection. It reads calls and words answers, and decides
// nothing: what a call means is up to its Operations.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>

#include "admin/parser.h"
#include "metrics/counters.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"

namespace lotusyard::admin {

enum class OperationResult { done, unknown_host, not_persisted };

struct Response {
  int status = 200;
  std::string text;
};

class AdminOperations {
 public:
  virtual ~AdminOperations() = default;
  virtual bool ready() const = 0;
  virtual OperationResult disable(const std::string& host) = 0;
  virtual OperationResult enable(const std::string& host) = 0;
  virtual std::optional<Response> handle_request(const Request&) {
    return std::nullopt;
  }  // nothing: no such call
};

class AdminEndpoint final : private net::EventHandler {
 public:
  AdminEndpoint(net::EventLoop& loop, metrics::Counters& counters, AdminOperations& operations,
                std::size_t callers);
  ~AdminEndpoint() override;
  bool listen(const std::string& address);
  std::string address() const { return net::bound_address(listener_); }
  bool quiet() const { return callers_.empty(); }  // nobody waits for an answer

 private:
  class AdminConnection;
  net::EventLoop& loop_;
  metrics::Counters& counters_;
  AdminOperations& operations_;
  std::size_t most_;
  net::BufferPool pool_;  // its own: what clients leave unread takes nothing from here
  net::Socket listener_;
  net::EventLoop::TimerId again_{};
  std::list<std::shared_ptr<AdminConnection>> callers_;  // in the order in which they came

  void ready(short events) override;
  void watch();
  void serve(AdminConnection& caller, const Request& request);
  void connection_closed(AdminConnection& caller);
};

}  // namespace lotusyard::admin
