#include "net/buffered_connection.h"

#include <sys/socket.h>

#include <cerrno>

#include "metrics/system_call_counters.h"
#include "net/errors.h"
#include "net/system_calls.h"

namespace lotusyard::net {
namespace {

constexpr int kReadsATurn = 8;            // one busy peer must not keep the others waiting
constexpr Millis kLinger{1000};           // a peer that was told the end has closed by then
constexpr Millis kMemoryPause{5};         // until a call that found no memory is made again
constexpr Millis kMemoryShortMost{2000};  // a connection that finds none for longer is ended

}  // namespace

BufferedConnection::BufferedConnection(EventLoop& loop, BufferPool& pool, Socket socket, bool is_connecting,
                                       EventLoop::Priority priority)
    : loop_(loop),
      socket_(std::move(socket)),
      send_queue_(pool),
      priority_(priority),
      connecting_(is_connecting) {
  if (socket_)
    update_registration();
}

BufferedConnection::~BufferedConnection() {
  loop_.cancel(linger_);
  loop_.cancel(resume_);
  loop_.unregister(socket_.fd(), *this);
}

void BufferedConnection::update_registration() {
  if (paused_)
    return loop_.register_handler(socket_.fd(), *this, 0, priority_);
  const bool writes = connecting_ || !send_queue_.empty();
  loop_.register_handler(socket_.fd(), *this,
                         static_cast<short>((connecting_ ? 0 : POLLIN) | (writes ? POLLOUT : 0)), priority_);
}

void BufferedConnection::write(std::string_view bytes) {
  if (is_closing())
    return;
  // A stream with a gap cannot be understood: it ends.
  if (!send_queue_.append(bytes))
    return close_later();
  if (!connecting_)
    loop_.flush_later(*this);
}

bool BufferedConnection::flush_now() {
  if (!socket_ || connecting_ || closing_)
    return false;
  if (paused_)
    return false;
  const auto before = send_queue_.written();
  const auto written = send_queue_.write_to(socket_.fd());
  if (send_queue_.written() > before)
    short_since_.reset();
  if (written == SendQueue::WriteStatus::short_of_memory) {
    pause_for_memory(metrics::kNetSendLocalResource);
    return false;
  }
  if (written == SendQueue::WriteStatus::broken) {
    loop_.count_error(metrics::kNetSendConnectionLost);
    broken_ = true;
    close_later();
    return false;
  }
  update_registration();
  if (finishing_ && send_queue_.empty())
    shutdown_write();
  return written == SendQueue::WriteStatus::all;
}

void BufferedConnection::flush() {
  if (!closing_ && !connecting_ && !send_queue_.empty())
    flush_now();
  if (!closing_ && !paused_ && is_open() && send_queue_.empty())
    before_write();
  if (!closing_)
    flush_now();
  if (closing_ && broken_ && reads_after_write_failure())
    read_remaining();
  if (closing_)
    close_now();
}

// What is lacking is this machine's, and the peer may well be sound: the call is made again.
void BufferedConnection::pause_for_memory(const metrics::Counter& counter) {
  loop_.count_error(counter);
  const Millis now = loop_.now();
  if (!short_since_)
    short_since_ = now;
  if (now - *short_since_ > kMemoryShortMost)
    return close_later();
  if (std::exchange(paused_, true))
    return;
  resume_ = loop_.schedule_at(now + kMemoryPause, [this] { resume(); });
  update_registration();
}

void BufferedConnection::resume() {
  paused_ = false;
  if (!socket_)
    return;
  update_registration();
  loop_.flush_later(*this);
}

void BufferedConnection::close_later() {
  if (!socket_)
    return;
  closing_ = true;
  loop_.flush_later(*this);
}

void BufferedConnection::shutdown_after_flush() {
  if (connecting_)
    return close_later();
  if (is_closing())
    return;
  finishing_ = true;
  loop_.flush_later(*this);
}

void BufferedConnection::shutdown_write() {
  if (std::exchange(told_, true))
    return;
  ::shutdown(socket_.fd(), SHUT_WR);
  linger_ = loop_.schedule_at(loop_.now() + kLinger, [this] { close_later(); });
}

void BufferedConnection::close_now() {
  if (!socket_)
    return;
  loop_.cancel(linger_);
  loop_.cancel(resume_);
  loop_.unregister(socket_.fd(), *this);
  socket_.close();
  send_queue_.clear();
  connecting_ = false;
  on_closed();
}

void BufferedConnection::connect_decided(short events) {
  int error_number = pending_error(socket_);
  if (error_number == 0 && (events & (POLLERR | POLLNVAL)) != 0)
    error_number = ECONNREFUSED;
  if (error_number != 0) {
    connect_error_ = net::connect_error(error_number);
    loop_.count_error(counter_of(connect_error_->kind));
    return close_now();
  }
  if ((events & POLLOUT) == 0)
    return;
  connecting_ = false;
  update_registration();
  on_connected();
}

void BufferedConnection::ready(short events) {
  if (connecting_)
    return connect_decided(events);
  if ((events & POLLOUT) != 0)
    loop_.flush_later(*this);
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !paused_)
    read();
}

void BufferedConnection::read_failed(int error_number) {
  if (error_number == EAGAIN || error_number == EWOULDBLOCK)
    return;
  if (is_transient_shortage(error_number))
    return pause_for_memory(metrics::kNetReceiveLocalResource);
  loop_.count_error(metrics::kNetReceiveConnectionLost);
  close_now();
}

void BufferedConnection::read() {
  auto& block = loop_.read_buffer();
  for (int i = 0; i < kReadsATurn && socket_ && !closing_; ++i) {
    const ssize_t got = system_calls::receive(socket_.fd(), block.data(), block.size(), 0);
    if (got < 0 && errno == EINTR)
      continue;
    if (got < 0)
      return read_failed(errno);
    short_since_.reset();
    if (got == 0)
      return close_now();
    on_received(std::string_view(block.data(), static_cast<std::size_t>(got)));
    if (static_cast<std::size_t>(got) < block.size())
      return;
  }
}

// A peer that answered and then died is found dead by a write; its answers would go with the socket.
void BufferedConnection::read_remaining() {
  auto& block = loop_.read_buffer();
  for (int i = 0; i < kReadsATurn && socket_; ++i) {
    const ssize_t got = system_calls::receive(socket_.fd(), block.data(), block.size(), 0);
    if (got < 0 && (errno == EINTR || is_transient_shortage(errno)))
      continue;
    if (got <= 0)
      return;
    on_received(std::string_view(block.data(), static_cast<std::size_t>(got)));
  }
}

}  // namespace lotusyard::net
