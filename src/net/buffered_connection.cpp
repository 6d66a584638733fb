#include "net/buffered_connection.h"

#include <sys/socket.h>

#include <cerrno>

#include "metrics/system_call_counters.h"
#include "net/errors.h"
#include "net/system_calls.h"

namespace lotusyard::net {
namespace {

constexpr int kMaxReadsPerIteration = 8;  // a busy peer must not keep the others waiting
constexpr Millis kLingerTimeout{1000};    // a peer closes within this after it has read the end of the stream
constexpr Millis kMemoryRetryInterval{5};   // between calls that fail for lack of memory
constexpr Millis kMaxMemoryShortage{2000};  // a connection that is short of memory for longer is closed

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
  loop_.cancel(linger_timer_);
  loop_.cancel(resume_timer_);
  loop_.unregister(socket_.fd(), *this);
}

short BufferedConnection::awaited_events() const {
  if (paused_for_memory_)
    return 0;
  if (connecting_)
    return POLLOUT;
  return send_queue_.empty() ? POLLIN : POLLIN | POLLOUT;
}

void BufferedConnection::update_registration() {
  loop_.register_handler(socket_.fd(), *this, awaited_events(), priority_);
}

void BufferedConnection::write(std::string_view bytes) {
  if (is_closing())
    return;
  if (!send_queue_.append(bytes))
    return close_later();
  if (!connecting_)
    loop_.flush_later(*this);
}

bool BufferedConnection::flush_now() {
  if (!is_open() || closes_at_flush() || paused_for_memory_)
    return false;
  const auto written_before = send_queue_.written();
  const SendQueue::WriteStatus status = send_queue_.write_to(socket_.fd());
  if (send_queue_.written() > written_before)
    short_of_memory_since_.reset();
  handle_write_status(status);
  return status == SendQueue::WriteStatus::all;
}

void BufferedConnection::handle_write_status(SendQueue::WriteStatus status) {
  if (status == SendQueue::WriteStatus::short_of_memory)
    return pause_for_memory(metrics::kNetSendLocalResource);
  if (status == SendQueue::WriteStatus::broken) {
    loop_.count_error(metrics::kNetSendConnectionLost);
    write_failed_ = true;
    return close_later();
  }
  update_registration();
  if (shutdown_ == Shutdown::after_flush && send_queue_.empty())
    shutdown_write();
}

void BufferedConnection::flush() {
  if (!send_queue_.empty())
    flush_now();
  if (is_open() && !closes_at_flush() && !paused_for_memory_ && send_queue_.empty())
    before_write();
  flush_now();
  if (!closes_at_flush())
    return;
  if (write_failed_ && reads_after_write_failure())
    read_remaining();
  close_now();
}

// The shortage is on this machine and says nothing about the peer: the call is repeated.
void BufferedConnection::pause_for_memory(const metrics::Counter& counter) {
  loop_.count_error(counter);
  const Millis now = loop_.now();
  if (!short_of_memory_since_)
    short_of_memory_since_ = now;
  if (now - *short_of_memory_since_ > kMaxMemoryShortage)
    return close_later();
  if (std::exchange(paused_for_memory_, true))
    return;
  resume_timer_ = loop_.schedule_at(now + kMemoryRetryInterval, [this] { resume(); });
  update_registration();
}

void BufferedConnection::resume() {
  paused_for_memory_ = false;
  if (!socket_)
    return;
  update_registration();
  loop_.flush_later(*this);
}

void BufferedConnection::close_later() {
  if (!socket_)
    return;
  shutdown_ = Shutdown::closing;
  loop_.flush_later(*this);
}

void BufferedConnection::shutdown_after_flush() {
  if (connecting_)
    return close_later();
  if (is_closing())
    return;
  shutdown_ = Shutdown::after_flush;
  loop_.flush_later(*this);
}

void BufferedConnection::shutdown_write() {
  shutdown_ = Shutdown::lingering;
  ::shutdown(socket_.fd(), SHUT_WR);
  start_linger_timer();
}

// A peer that reads slowly goes on sending until it has read the end of the stream. What it sends to a closed
// socket resets the connection, so the socket stays open for as long as something is on its way.
void BufferedConnection::start_linger_timer() {
  linger_timer_ = loop_.schedule_at(loop_.now() + kLingerTimeout, [this] {
    if (delivery() == Delivery::pending)
      return start_linger_timer();
    close_later();
  });
}

BufferedConnection::Delivery BufferedConnection::delivery() {
  if (!socket_)
    return Delivery::complete;
  const std::size_t in_kernel = undelivered_bytes(socket_);
  if (send_queue_.empty() && in_kernel == 0)
    return Delivery::complete;
  const std::uint64_t delivered = send_queue_.written() - in_kernel;
  return delivery_progress_.is_stalled(delivered, loop_.now()) ? Delivery::stalled : Delivery::pending;
}

void BufferedConnection::close_now() {
  if (!socket_)
    return;
  loop_.cancel(linger_timer_);
  loop_.cancel(resume_timer_);
  loop_.unregister(socket_.fd(), *this);
  socket_.close();
  send_queue_.clear();
  connecting_ = false;
  on_closed();
}

void BufferedConnection::finish_connecting(short events) {
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
    return finish_connecting(events);
  if ((events & POLLOUT) != 0)
    loop_.flush_later(*this);
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !paused_for_memory_)
    read();
}

void BufferedConnection::read() {
  auto& buffer = loop_.read_buffer();
  for (int i = 0; i < kMaxReadsPerIteration && socket_ && !closes_at_flush(); ++i) {
    const ssize_t received = system_calls::receive(socket_.fd(), buffer.data(), buffer.size(), 0);
    if (received < 0 && errno == EINTR)
      continue;
    if (received < 0)
      return handle_read_error(errno);
    short_of_memory_since_.reset();
    if (received == 0)
      return close_now();
    const auto size = static_cast<std::size_t>(received);
    on_received(std::string_view(buffer.data(), size));
    if (size < buffer.size())
      return;
  }
}

void BufferedConnection::handle_read_error(int error_number) {
  if (error_number == EAGAIN || error_number == EWOULDBLOCK)
    return;
  if (is_transient_shortage(error_number))
    return pause_for_memory(metrics::kNetReceiveLocalResource);
  loop_.count_error(metrics::kNetReceiveConnectionLost);
  close_now();
}

// A peer that responded and then died may be noticed by a write first. Its responses would be lost with the
// socket.
void BufferedConnection::read_remaining() {
  auto& buffer = loop_.read_buffer();
  for (int i = 0; i < kMaxReadsPerIteration && socket_; ++i) {
    const ssize_t received = system_calls::receive(socket_.fd(), buffer.data(), buffer.size(), 0);
    if (received < 0 && (errno == EINTR || is_transient_shortage(errno)))
      continue;
    if (received <= 0)
      return;
    on_received(std::string_view(buffer.data(), static_cast<std::size_t>(received)));
  }
}

}  // namespace lotusyard::net
