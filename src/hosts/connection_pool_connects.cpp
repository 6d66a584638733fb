// New connections to hosts, and what waits while this machine cannot make any.
#include <algorithm>

#include "hosts/connection_pool.h"
#include "hosts/host_connection.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

using core::HostState;
using core::Outcome;

constexpr Millis kMoveOn{10};    // where an open connection to another host could carry the attempt
constexpr Millis kLeastLeft{3};  // of a call's time: what waits is ended before its deadline ends it

}  // namespace

HostConnectionPool::LinkChoice HostConnectionPool::connection_for(Host& host, const std::string& ref) {
  HostConnection* best = nullptr;
  HostConnection* suspect = nullptr;
  std::size_t usable = 0;
  for (const auto& link : host.connections) {
    if (link->is_open() || link->is_connecting())
      ++usable;
    if (link->has_capacity(ref, true))
      suspect = link.get();
    if (!link->has_capacity(ref, false))
      continue;
    if (best == nullptr || link->load() < best->load())
      best = link.get();
  }
  if (best != nullptr)
    return {best, false};
  if (usable >= limits_.links_a_host || connections_ >= limits_.links) {
    counters_.add(metrics::kHostsNoLink);
    return {nullptr, false};
  }
  const LinkChoice fresh = open_link(host);
  // One that may be cut off is better than none at all.
  return fresh.local_trouble && suspect != nullptr ? LinkChoice{suspect, false} : fresh;
}

HostConnectionPool::LinkChoice HostConnectionPool::open_link(Host& host) {
  if (!backoff_.may_try(loop_.now()))
    return {nullptr, true};
  net::ConnectResult connection = net::connect_to(host.member.address);
  net::count_connect_error(loop_, connection);
  if (connection.error && connection.error->kind == net::ConnectErrorKind::local_resource) {
    backoff_.failed(loop_.now());
    return {nullptr, true};
  }
  if (!connection) {
    counters_.add(metrics::kHostsConnectFailed);
    return {nullptr, false};
  }
  counters_.add(metrics::kHostsLinksOpened);
  ++connections_;
  host.connections.push_back(
      std::make_shared<HostConnection>(*this, host.member.entry.host, std::move(connection.socket)));
  return {host.connections.back().get(), false};
}

// Asked for each host that may have a call: without trouble it costs no look at the clock.
bool HostConnectionPool::in_local_trouble() const {
  return !backoff_.calm() && backoff_.in_trouble(loop_.now());
}

bool HostConnectionPool::has_open_link(const Host& host) const {
  return std::any_of(host.connections.begin(), host.connections.end(),
                     [](const auto& link) { return link->is_open() && link->has_capacity({}, true); });
}

// What can be reached right now goes ahead of what cannot, for whoever may have the call at all.
bool HostConnectionPool::ReachableHosts::allows(const std::string& tenant, std::uint64_t function,
                                                const std::string& id) {
  const auto allowed = [&](const std::string& host) {
    return next_ == nullptr || next_->allows(tenant, function, host);
  };
  if (!allowed(id))
    return false;
  if (!fleet_.in_local_trouble())
    return true;
  const auto found = fleet_.hosts_.find(id);
  if (found == fleet_.hosts_.end() || fleet_.has_open_link(found->second))
    return true;
  return std::none_of(fleet_.hosts_.begin(), fleet_.hosts_.end(), [&](const auto& entry) {
    return fleet_.is_reachable(entry.second) && allowed(entry.first);
  });
}

bool HostConnectionPool::is_reachable(const Host& host) const {
  return host.member.entry.state == HostState::ready && has_open_link(host);
}

void HostConnectionPool::wait(WaitingSend&& send) {
  counters_.add(metrics::kHostsWaitsForConnection);
  waiting_.add(std::move(send));
  arm_waiting();
}

void HostConnectionPool::arm_waiting() {
  if (waiting_.empty())
    return;
  loop_.cancel(waiting_timer_);
  const Millis next = std::max(backoff_.next_try(), loop_.now());
  waiting_timer_ = loop_.schedule_at(next, [this] { try_waiting(); });
}

// The attempt keeps its place at the host for a part of the call's time; then the module may choose anew.
void HostConnectionPool::wait_for_connection(const core::Attempt& attempt, const std::string& host,
                                             const core::Call& call, Millis until) {
  const Millis now = loop_.now();
  const int attempts_left = std::max(1, dispatcher_->settings().retries.max_attempts - attempt.number);
  WaitingSend send;
  send.host = host;
  send.attempt = attempt;
  send.call = call;
  send.since = now;
  send.until = until - kLeastLeft;
  send.move_on_at = now + (until - now) / attempts_left;
  wait(std::move(send));
}

void HostConnectionPool::wait_with(WaitingSend::Kind kind, const std::string& host, std::uint64_t function,
                                   int copies) {
  WaitingSend send;
  send.kind = kind;
  send.host = host;
  send.since = loop_.now();
  send.until = send.since + limits_.order_timeout;
  send.function = function;
  send.copies = copies;
  wait(std::move(send));
}

void HostConnectionPool::try_waiting() {
  for (auto& send : waiting_.take_all()) {
    if (!try_again(send))
      waiting_.add(std::move(send));
  }
  arm_waiting();
}

// True if it needs to wait no longer.
bool HostConnectionPool::try_again(WaitingSend& send) {
  const Millis now = loop_.now();
  const bool attempt = send.kind == WaitingSend::Kind::attempt;
  const bool loads = send.kind == WaitingSend::Kind::load_order && send.copies > 0;
  const std::uint64_t function = attempt ? send.call.function : loads ? send.function : 0;
  Host* host = ready_host(send.host, attempt ? &send.call : nullptr, function);
  if (host == nullptr || now >= send.until)
    return end_waiting(send), true;
  const LinkChoice choice = connection_for(*host, attempt ? send.call.ref : std::string());
  if (choice.link != nullptr)
    return send_on(*choice.link, send), true;
  if (!choice.local_trouble)
    return end_unreachable(send), true;
  if (attempt && may_move_on(send, now))
    return end_waiting(send), true;
  return false;
}

bool HostConnectionPool::may_move_on(const WaitingSend& send, Millis now) const {
  if (send.attempt.number + 1 >= dispatcher_->settings().retries.max_attempts)
    return false;
  if (now >= send.move_on_at)
    return true;
  const bool elsewhere = std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
    return entry.first != send.host && is_reachable(entry.second);
  });
  return elsewhere && now >= send.since + kMoveOn;
}

void HostConnectionPool::send_on(HostConnection& link, const WaitingSend& send) {
  switch (send.kind) {
    case WaitingSend::Kind::attempt:
      return send_attempt(link, send.attempt, send.call, send.until + kLeastLeft - loop_.now());
    case WaitingSend::Kind::probe:
      return link.probe("p" + std::to_string(++last_tag_));
    case WaitingSend::Kind::load_order:
      return link.load_copies("t" + std::to_string(++last_tag_), send.function, send.copies);
  }
}

// Nothing of it went out, and nothing is known of the host.
void HostConnectionPool::end_waiting(const WaitingSend& send) {
  counters_.add(metrics::kHostsWaitsEnded);
  notify_later([this, kind = send.kind, host = send.host, attempt = send.attempt, function = send.function] {
    switch (kind) {
      case WaitingSend::Kind::attempt:
        return dispatcher_->attempt_ended(attempt, {Outcome::never_ran, 0, std::nullopt, {}});
      case WaitingSend::Kind::probe:
        return dispatcher_->probe_ended({host, Outcome::timeout, Millis(0), std::nullopt});
      case WaitingSend::Kind::load_order:
        return dispatcher_->load_ended({host, function, Outcome::timeout, Millis(0), 0});
    }
  });
}

void HostConnectionPool::end_unreachable(const WaitingSend& send) {
  switch (send.kind) {
    case WaitingSend::Kind::attempt:
      return attempt_not_sent(send.attempt);
    case WaitingSend::Kind::probe:
      return probe_not_sent(send.host);
    case WaitingSend::Kind::load_order:
      return load_not_sent(send.host, send.function);
  }
}

void HostConnectionPool::withdraw_waiting(const std::string& host) {
  for (const auto& send : waiting_.take_host(host))
    end_waiting(send);
}

}  // namespace lotusyard::hosts
