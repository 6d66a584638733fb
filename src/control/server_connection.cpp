#include "control/server_connection.h"

#include <utility>
#include <variant>
#include <vector>

#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

constexpr std::size_t kMaxFrameBytes = kMaxFrameBytesToInvoker + 16;  // with its header
// Responses that may wait unsent, beside chunks and deltas.
constexpr std::size_t kMaxUnsentAnswerBytes = 256U << 10;

}  // namespace

ServerConnection::ServerConnection(Owner& owner, Id id, net::EventLoop& loop, net::BufferPool& pool,
                                   net::Socket socket, const Limits& limits, metrics::Counters& counters)
    : BufferedConnection(loop, pool, std::move(socket), false),
      owner_(owner),
      id_(id),
      limits_(limits),
      counters_(counters),
      pool_(pool),
      accepted_at_(loop.now()),
      last_received_at_(accepted_at_),
      last_progress_at_(accepted_at_) {}

void ServerConnection::send(const std::string& frame) {
  const std::size_t max_unsent = limits_.max_unsent_bytes + kMaxFrameBytes + kMaxUnsentAnswerBytes;
  if (unsent() + frame.size() <= max_unsent)
    return write(frame);
  if (!is_closing())
    disconnect(metrics::kControlOverflowedLinks);
}

// A connection that has nothing to write while others use the entire pool is refilled after its next grant.
bool ServerConnection::has_room() {
  const bool accepts_more = unsent() < limits_.max_unsent_bytes && has_free_buffers();
  is_refill_wanted_ = is_closing() || !accepts_more;
  return !is_refill_wanted_;
}

bool ServerConnection::has_free_buffers() const { return pool_.bytes_available() >= kMaxFrameBytes; }

void ServerConnection::refill() {
  if (std::exchange(is_refill_wanted_, false) && !is_closing())
    owner_.on_writable(id_);
}

void ServerConnection::finish() {
  is_finished_by_owner_ = true;
  shutdown_after_flush();
}

void ServerConnection::check_timeouts(Millis now) {
  if (is_stalled(now))
    return disconnect(metrics::kControlStalledLinks);
  if (is_closing())
    return;
  if (!is_open_ && now - accepted_at_ > limits_.open_timeout)
    return disconnect(metrics::kControlNoOpen);
  if (is_open_ && now - last_received_at_ > limits_.silence_timeout)
    return disconnect(metrics::kControlSilentLinks);
}

bool ServerConnection::is_stalled(Millis now) {
  const bool has_progressed = send_queue().empty() || send_queue().written() != written_at_last_progress_;
  if (has_progressed) {
    written_at_last_progress_ = send_queue().written();
    last_progress_at_ = now;
  }
  return now - last_progress_at_ > limits_.stall_timeout;
}

void ServerConnection::disconnect(const metrics::Counter& reason) {
  counters_.add(reason);
  close_later();
}

void ServerConnection::on_received(std::string_view bytes) {
  if (is_closing())
    return;
  std::vector<Message> messages;
  const bool is_sound = reader_.parse(bytes, messages);
  for (auto& message : messages) {
    last_received_at_ = loop().now();
    if (std::holds_alternative<Open>(message))
      is_open_ = true;
    owner_.on_message(id_, std::move(message), last_received_at_);
    if (is_closing())
      return;
  }
  if (!is_sound)
    owner_.on_malformed(id_);
}

void ServerConnection::before_write() {
  if (is_refill_wanted_)
    owner_.refill_later(id_);
}

void ServerConnection::on_closed() { owner_.on_closed(id_, is_finished_by_owner_); }

}  // namespace lotusyard::control
