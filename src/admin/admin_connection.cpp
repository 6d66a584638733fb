#include "admin/admin_connection.h"

#include <utility>

namespace lotusyard::admin {
namespace {

// From the opening of the connection to the last byte of the request. Without a limit, clients that never
// complete their requests would occupy all connections.
constexpr net::Millis kRequestTimeout{3000};

}  // namespace

AdminConnection::AdminConnection(net::EventLoop& loop, net::BufferPool& pool, net::Socket socket,
                                 Owner& owner)
    : BufferedConnection(loop, pool, std::move(socket), false, net::EventLoop::Priority::urgent),
      owner_(owner) {
  const auto on_timeout = [this] { reject(HttpStatus::request_timeout, "the call did not come whole"); };
  request_timer_ = loop.schedule_at(loop.now() + kRequestTimeout, on_timeout);
}

AdminConnection::~AdminConnection() { loop().cancel(request_timer_); }

void AdminConnection::respond(const HttpResponse& response) {
  has_responded_ = true;
  loop().cancel(request_timer_);
  write(serialize(response));
  shutdown_after_flush();
  flush_now();  // an operator does not wait for the rest of the iteration
}

void AdminConnection::reject(HttpStatus status, const std::string& reason) {
  if (has_responded_)
    return close_later();
  owner_.on_rejected(status);
  respond({status, reason, {}});
}

void AdminConnection::on_received(std::string_view bytes) {
  if (has_responded_)
    return;  // one request for each connection: further bytes are ignored
  switch (parser_.parse(bytes)) {
    case RequestParser::State::complete:
      return owner_.on_request(*this, parser_.request());
    case RequestParser::State::malformed:
      return reject(parser_.error_status(), "the call cannot be read");
    case RequestParser::State::incomplete:
      break;
  }
  if (!parser_.expects_continue())
    return;
  parser_.continue_sent();
  write("HTTP/1.1 100 Continue\r\n\r\n");
}

void AdminConnection::on_closed() {
  loop().cancel(request_timer_);
  owner_.on_closed(*this);
}

}  // namespace lotusyard::admin
