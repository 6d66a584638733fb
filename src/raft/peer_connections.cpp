#include "raft/peer_connections.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "metrics/cluster_counters.h"

namespace lotusyard::raft {
namespace {

using policy::Millis;

constexpr Millis kAcknowledgementInterval{200};
constexpr Millis kAcknowledgementTimeout{1500};
constexpr Millis kHelloTimeout{3000};
constexpr std::size_t kMaxLoggedReasonBytes = 200;

}  // namespace

PeerTransport::OutgoingConnection::OutgoingConnection(PeerTransport& transport, std::string key,
                                                      net::Socket socket)
    : BufferedConnection(transport.loop_, transport.pool_, std::move(socket), true),
      transport_(transport),
      key_(std::move(key)) {}

bool PeerTransport::OutgoingConnection::is_unacknowledged() {
  const Millis now = loop().now();
  if (unacknowledged_since_.count() == 0) {
    unacknowledged_since_ = now;
  }
  return now - unacknowledged_since_ > kAcknowledgementTimeout;
}

void PeerTransport::OutgoingConnection::on_received(std::string_view bytes) {
  unacknowledged_since_ = Millis(0);
  std::vector<Frame> frames;
  const bool valid = parser_.parse(bytes, frames);
  for (const auto& frame : frames) {
    if (frame.kind == Frame::Kind::refusal) {
      transport_.counters_.add(metrics::kGroupTurnedAway);
      transport_.log_once("turned away by " + key_ + ": " + frame.body.substr(0, kMaxLoggedReasonBytes));
      close_later();
      return;
    }
  }
  if (!valid) {
    close_later();
  }
}

void PeerTransport::OutgoingConnection::on_closed() { transport_.on_outgoing_closed(*this); }

PeerTransport::IncomingConnection::IncomingConnection(PeerTransport& transport, net::Socket socket)
    : BufferedConnection(transport.loop_, transport.pool_, std::move(socket), false), transport_(transport) {
  hello_timer_ = loop().schedule_at(loop().now() + kHelloTimeout, [this] {
    if (!hello_) {
      transport_.counters_.add(metrics::kGroupNoHello);
      close_later();
    }
  });
}

PeerTransport::IncomingConnection::~IncomingConnection() {
  loop().cancel(hello_timer_);
  loop().cancel(acknowledgement_timer_);
}

void PeerTransport::IncomingConnection::on_received(std::string_view bytes) {
  std::vector<Frame> frames;
  const bool valid = parser_.parse(bytes, frames);
  for (auto& frame : frames) {
    if (is_closing() || !handle_frame(std::move(frame))) {
      return;
    }
  }
  if (!valid) {
    close_malformed();
    return;
  }
  if (hello_ && !is_closing()) {
    schedule_acknowledgement();
  }
}

bool PeerTransport::IncomingConnection::handle_frame(Frame&& frame) {
  if (!hello_) {
    return handle_hello(frame);
  }
  switch (frame.kind) {
    case Frame::Kind::consensus:
    case Frame::Kind::message:
    case Frame::Kind::gossip:
      transport_.receive_(*hello_, std::move(frame));
      return true;
    case Frame::Kind::hello:
    case Frame::Kind::refusal:
    case Frame::Kind::received:
      break;
  }
  close_malformed();
  return false;
}

bool PeerTransport::IncomingConnection::handle_hello(const Frame& frame) {
  const auto hello = frame.kind == Frame::Kind::hello ? decode_hello(frame.body) : std::nullopt;
  if (!hello) {
    close_malformed();
    return false;
  }
  if (const char* reason = transport_.rejection_reason(*hello)) {
    transport_.counters_.add(metrics::kGroupRefused);
    transport_.log_once("member " + hello->member + " is turned away: " + reason);
    write(encode_frame(Frame::Kind::refusal, reason));
    shutdown_after_flush();
    return false;
  }
  hello_ = hello;
  return true;
}

void PeerTransport::IncomingConnection::schedule_acknowledgement() {
  if (acknowledgement_pending_) {
    return;
  }
  acknowledgement_pending_ = true;
  const Millis due = std::max(loop().now(), acknowledged_at_ + kAcknowledgementInterval);
  acknowledgement_timer_ = loop().schedule_at(due, [this] { acknowledge(); });
}

void PeerTransport::IncomingConnection::acknowledge() {
  acknowledgement_pending_ = false;
  acknowledged_at_ = loop().now();
  write(encode_frame(Frame::Kind::received, {}));
}

void PeerTransport::IncomingConnection::close_malformed() {
  transport_.counters_.add(metrics::kGroupMalformed);
  close_later();
}

void PeerTransport::IncomingConnection::on_closed() { transport_.on_incoming_closed(*this); }

}  // namespace lotusyard::raft
