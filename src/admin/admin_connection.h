// One connection at the admin endpoint: one request and its response.
#pragma once

#include <string>
#include <string_view>

#include "admin/http_message.h"
#include "admin/request_parser.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"

namespace lotusyard::admin {

// Reads the request and writes the response. Requests that are malformed or late are rejected here.
class AdminConnection final : public net::BufferedConnection {
 public:
  // Receives the events of a connection.
  class Owner {
   public:
    virtual ~Owner() = default;
    // A complete request has arrived: respond() is called before this returns.
    virtual void on_request(AdminConnection& connection, const Request& request) = 0;
    // A request is rejected with this status without having been complete.
    virtual void on_rejected(HttpStatus status) = 0;
    // The last call for a connection, which must exist until the end of the iteration.
    virtual void on_closed(AdminConnection& connection) = 0;
  };

  AdminConnection(net::EventLoop& loop, net::BufferPool& pool, net::Socket socket, Owner& owner);
  ~AdminConnection() override;

  bool has_responded() const { return has_responded_; }

  // Sends the response at once and closes the connection after it.
  void respond(const HttpResponse& response);

  // Responds with an error; closes the connection if it has its response already.
  void reject(HttpStatus status, const std::string& reason);

 private:
  Owner& owner_;
  RequestParser parser_;
  net::EventLoop::TimerId request_timer_{};
  bool has_responded_ = false;

  void on_received(std::string_view bytes) override;
  void on_closed() override;
};

}  // namespace lotusyard::admin
