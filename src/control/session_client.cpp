#include "control/session_client.h"

#include <algorithm>

#include "control/message_codec.h"
#include "net/buffered_connection.h"

namespace lotusyard::control {
namespace {

constexpr std::size_t kMaxUnsentBlocks = 128;  // of 16 KB

}  // namespace

class SessionClient::Connection final : public net::BufferedConnection {
 public:
  // Urgent: a lease must be renewed also under a high load of calls.
  Connection(SessionClient& client, net::Socket socket)
      : BufferedConnection(client.loop_, client.pool_, std::move(socket), true,
                           net::EventLoop::Priority::urgent),
        client_(client) {}

  // Ends the connection for the session, which may be inside of a call from on_received().
  void close_after_flush() {
    flush_now();
    if (send_queue().empty()) {
      shutdown_after_flush();
    } else {
      close_later();
    }
  }

 private:
  SessionClient& client_;
  MessageReader reader_{kMaxFrameBytesToInvoker};

  bool is_current() const { return client_.connection_.get() == this; }
  void on_connected() override {
    if (!is_current())
      return;
    client_.session_.on_connected(loop().now());
    client_.arm_timer();
  }
  void on_received(std::string_view bytes) override {
    if (!is_current())
      return;
    std::vector<Message> messages;
    const bool is_sound = reader_.parse(bytes, messages);
    for (auto& message : messages) {
      client_.session_.on_message(std::move(message), loop().now());
      if (!is_current())
        break;
    }
    if (!is_sound && is_current())
      client_.session_.on_malformed(loop().now());
    client_.arm_timer();
  }
  void on_closed() override { client_.connection_ended(*this); }
};

SessionClient::SessionClient(net::EventLoop& loop, metrics::Counters& counters, Session::Config config,
                             std::uint64_t seed)
    : loop_(loop),
      pool_(kMaxUnsentBlocks),
      session_(std::move(config), *this, replica_, counters, seed, loop.now()) {
  arm_timer();
}

SessionClient::~SessionClient() {
  loop_.cancel(session_timer_);
  loop_.cancel(failure_timer_);
}

void SessionClient::arm_timer() {
  loop_.cancel(session_timer_);
  session_timer_ = loop_.schedule_at(session_.due(), [this] { tick(); });
}

void SessionClient::tick() {
  session_.tick(loop_.now());
  arm_timer();
}

void SessionClient::connect(const NodeAddress& node) {
  disconnect();
  net::ConnectResult connection = net::connect_to(node.address);
  net::count_connect_error(loop_, connection);
  if (connection) {
    connection_ = std::make_shared<Connection>(*this, std::move(connection.socket));
  } else {
    failure_timer_ = loop_.schedule_at(loop_.now(), [this] { connection_failed(); });
  }
}

void SessionClient::connection_failed() {
  session_.on_disconnected(loop_.now());
  arm_timer();
}

void SessionClient::send(const std::string& frame) {
  if (connection_)
    connection_->write(frame);
}

void SessionClient::disconnect() {
  loop_.cancel(failure_timer_);
  if (!connection_)
    return;
  closing_.push_back(std::exchange(connection_, nullptr));
  closing_.back()->close_after_flush();
}

void SessionClient::connection_ended(Connection& connection) {
  if (connection_.get() == &connection) {
    loop_.delete_later(std::exchange(connection_, nullptr));
    session_.on_disconnected(loop_.now());
    return arm_timer();
  }
  const auto is_same = [&connection](const auto& other) { return other.get() == &connection; };
  const auto found = std::find_if(closing_.begin(), closing_.end(), is_same);
  if (found == closing_.end())
    return;
  loop_.delete_later(*found);
  closing_.erase(found);
}

}  // namespace lotusyard::control
