#include "net/stream.h"

#include <sys/socket.h>

#include <cerrno>

#include "net/errors.h"
#include "net/system_calls.h"

namespace lotusyard::net {
namespace {

constexpr int kReadsATurn = 8;            // one busy peer must not keep the others waiting
constexpr Millis kLinger{1000};           // a peer that was told the end has closed by then
constexpr Millis kMemoryPause{5};         // until a call that found no memory is made again
constexpr Millis kMemoryShortMost{2000};  // a connection that finds none for longer is ended

}  // namespace

Stream::Stream(Loop& loop, BufferPool& pool, Socket socket, bool connecting, Loop::Rank rank)
    : loop_(loop), socket_(std::move(socket)), outbox_(pool), rank_(rank), connecting_(connecting) {
  if (socket_) watch();
}

Stream::~Stream() {
  loop_.cancel(linger_);
  loop_.cancel(resume_);
  loop_.forget(socket_.fd(), *this);
}

void Stream::watch() {
  if (paused_) return loop_.watch(socket_.fd(), *this, 0, rank_);
  const bool writes = connecting_ || !outbox_.empty();
  loop_.watch(socket_.fd(), *this, static_cast<short>((connecting_ ? 0 : POLLIN) | (writes ? POLLOUT : 0)),
              rank_);
}

void Stream::write(std::string_view bytes) {
  if (ending()) return;
  // A stream with a gap cannot be understood: it ends.
  if (!outbox_.append(bytes)) return end_later();
  if (!connecting_) loop_.flush_later(*this);
}

bool Stream::flush_now() {
  if (!socket_ || connecting_ || ending_) return false;
  if (paused_) return false;
  const auto before = outbox_.written();
  const auto written = outbox_.write_to(socket_.fd());
  if (outbox_.written() > before) short_since_.reset();
  if (written == Outbox::Written::short_of_memory) {
    pause_for_memory("net.send.local_resource");
    return false;
  }
  if (written == Outbox::Written::broken) {
    loop_.count_error("net.send.connection_lost");
    broken_ = true;
    end_later();
    return false;
  }
  watch();
  if (finishing_ && outbox_.empty()) tell_finished();
  return written == Outbox::Written::all;
}

void Stream::flush() {
  if (!ending_ && !connecting_ && !outbox_.empty()) flush_now();
  if (!ending_ && !paused_ && open() && outbox_.empty()) before_flush();
  if (!ending_) flush_now();
  if (ending_ && broken_ && reads_rest()) read_rest();
  if (ending_) end();
}

// What is lacking is this machine's, and the peer may well be sound: the call is made again.
void Stream::pause_for_memory(const char* counter) {
  loop_.count_error(counter);
  const Millis now = loop_.now();
  if (!short_since_) short_since_ = now;
  if (now - *short_since_ > kMemoryShortMost) return end_later();
  if (std::exchange(paused_, true)) return;
  resume_ = loop_.at(now + kMemoryPause, [this] { resume(); });
  watch();
}

void Stream::resume() {
  paused_ = false;
  if (!socket_) return;
  watch();
  loop_.flush_later(*this);
}

void Stream::end_later() {
  if (!socket_) return;
  ending_ = true;
  loop_.flush_later(*this);
}

void Stream::finish_later() {
  if (connecting_) return end_later();
  if (ending()) return;
  finishing_ = true;
  loop_.flush_later(*this);
}

void Stream::tell_finished() {
  if (std::exchange(told_, true)) return;
  ::shutdown(socket_.fd(), SHUT_WR);
  linger_ = loop_.at(loop_.now() + kLinger, [this] { end_later(); });
}

void Stream::end() {
  if (!socket_) return;
  loop_.cancel(linger_);
  loop_.cancel(resume_);
  loop_.forget(socket_.fd(), *this);
  socket_.close();
  outbox_.give_back();
  connecting_ = false;
  ended();
}

void Stream::connect_decided(short events) {
  int error_number = pending_error(socket_);
  if (error_number == 0 && (events & (POLLERR | POLLNVAL)) != 0) error_number = ECONNREFUSED;
  if (error_number != 0) {
    connect_error_ = net::connect_error(error_number);
    loop_.count_error(counter_name(connect_error_->kind));
    return end();
  }
  if ((events & POLLOUT) == 0) return;
  connecting_ = false;
  watch();
  connected();
}

void Stream::ready(short events) {
  if (connecting_) return connect_decided(events);
  if ((events & POLLOUT) != 0) loop_.flush_later(*this);
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !paused_) read();
}

void Stream::read_failed(int error_number) {
  if (error_number == EAGAIN || error_number == EWOULDBLOCK) return;
  if (is_transient_shortage(error_number)) return pause_for_memory("net.receive.local_resource");
  loop_.count_error("net.receive.connection_lost");
  end();
}

void Stream::read() {
  auto& block = loop_.read_buffer();
  for (int i = 0; i < kReadsATurn && socket_ && !ending_; ++i) {
    const ssize_t got = system_calls::receive(socket_.fd(), block.data(), block.size(), 0);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return read_failed(errno);
    short_since_.reset();
    if (got == 0) return end();
    received(std::string_view(block.data(), static_cast<std::size_t>(got)));
    if (static_cast<std::size_t>(got) < block.size()) return;
  }
}

// Danger: a peer that answered and then died is found dead by a write; its answers would go with the socket.
void Stream::read_rest() {
  auto& block = loop_.read_buffer();
  for (int i = 0; i < kReadsATurn && socket_; ++i) {
    const ssize_t got = system_calls::receive(socket_.fd(), block.data(), block.size(), 0);
    if (got < 0 && (errno == EINTR || is_transient_shortage(errno))) continue;
    if (got <= 0) return;
    received(std::string_view(block.data(), static_cast<std::size_t>(got)));
  }
}

}  // namespace lotusyard::net
