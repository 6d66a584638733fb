#include "resp/client_listener.h"

#include <utility>

#include "metrics/client_counters.h"

namespace lotusyard::resp {
namespace {

// Other connections have to be served between two batches.
constexpr int kMaxAcceptsPerIteration = 64;

// The delay before accepting again after no descriptor was free. Other components may have used them up, so
// no event reports that one is free.
constexpr core::Millis kResumeDelay{50};

}  // namespace

ClientListener::~ClientListener() {
  loop_.cancel(resume_timer_);
  close();
}

bool ClientListener::listen(const std::string& address) {
  inherited_ = false;
  listen_on(net::listen_on(address));
  return is_listening();
}

void ClientListener::listen_on_inherited(net::Socket listener) {
  inherited_ = true;
  listen_on(std::move(listener));
}

void ClientListener::listen_on(net::Socket listener) {
  listener_ = std::move(listener);
  if (listener_)
    loop_.register_handler(listener_.fd(), *this, POLLIN);
}

void ClientListener::stop() {
  if (!listener_)
    return;
  // The close would reset connections that wait to be accepted, with what their clients have sent.
  while (!inherited_ && accept_some()) {
  }
  close();
}

void ClientListener::close() {
  if (!listener_)
    return;
  loop_.unregister(listener_.fd(), *this);
  listener_.close();
}

void ClientListener::ready(short) { accept_some(); }

// Returns false if no connection waits any more, or none can be accepted for now.
bool ClientListener::accept_some() {
  for (int accepts = 0; accepts < kMaxAcceptsPerIteration; ++accepts) {
    net::AcceptResult accepted = net::accept_from(listener_);
    net::count_accept_errors(loop_, accepted);
    // Also where none can be accepted: connections that wait now have waited since then, and not for longer.
    const core::Millis connected_since = arrivals_.earliest_arrival(loop_);
    if (accepted.status == net::AcceptStatus::out_of_resources) {
      counters_.add(metrics::kRespNoDescriptor);
      pause();
      return false;
    }
    if (!accepted.socket) {
      arrivals_.mark_all_read();
      return false;
    }
    counters_.add(metrics::kRespConnections);
    on_accepted_(std::move(accepted.socket), connected_since);
  }
  return true;
}

// The listener stays readable, which would keep the event loop busy.
void ClientListener::pause() {
  paused_ = true;
  arrivals_.mark_paused();
  loop_.unregister(listener_.fd(), *this);
  loop_.cancel(resume_timer_);
  resume_timer_ = loop_.schedule_at(loop_.now() + kResumeDelay, [this] { resume(); });
}

void ClientListener::resume_if_paused() {
  if (paused_)
    resume();
}

void ClientListener::resume() {
  loop_.cancel(resume_timer_);
  if (std::exchange(paused_, false) && listener_)
    loop_.register_handler(listener_.fd(), *this, POLLIN);
}

}  // namespace lotusyard::resp
