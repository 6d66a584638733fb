#include "hosts/connection_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "hosts/host_connection.h"
#include "metrics/call_counters.h"
#include "metrics/host_counters.h"
#include "net/fields.h"

namespace lotusyard::hosts {
namespace {

using core::HostState;
using core::Outcome;
using net::field;

constexpr Millis kQuietLeast{
    200};  // a link with something out that is silent for longer is asked by a liveness probe,
constexpr double kQuietRuns = 2;  // so many usual answers, but no longer than the limit that is set
constexpr double kUsualGain = 0.05;
constexpr double kProbeShare = 0.05;  // liveness probes for each attempt, over all links
constexpr double kProbesMost = 5;     // and what may be saved up of them

}  // namespace

Millis HostConnectionPool::max_silence() const {
  return std::min(std::max(usual_answer_ * kQuietRuns, kQuietLeast), std::max(limits_.quiet, kQuietLeast));
}
void HostConnectionPool::record_answer_time(Millis took) {
  usual_answer_ += kUsualGain * (took - usual_answer_);
}
// Each liveness probe is cheap, but calls that wait for a load are silent as well. Asked for whatever
// is late, a hundred invokers' probes are more than their calls.
bool HostConnectionPool::take_liveness_probe() {
  if (probes_left_ < 1)
    return false;
  probes_left_ -= 1;
  counters_.add(metrics::kHostsLivenessProbes);
  return true;
}

HostConnectionPool::HostConnectionPool(net::EventLoop& loop, net::BufferPool& pool,
                                       metrics::Counters& counters, Limits limits)
    : loop_(loop), pool_(pool), counters_(counters), limits_(std::move(limits)), probes_left_(kProbesMost) {}
HostConnectionPool::~HostConnectionPool() { loop_.cancel(waiting_timer_); }

void HostConnectionPool::attach(core::Dispatcher& dispatcher) {
  dispatcher_ = &dispatcher;
  dispatcher.set_host_filter(host_filter(nullptr));
}

policy::HostFilter* HostConnectionPool::host_filter(policy::HostFilter* next) {
  reachable_hosts_.ask_too(next);
  return &reachable_hosts_;
}

void HostConnectionPool::update_endpoints(const core::HostListUpdate& list) {
  std::set<std::string> named;
  const auto retire = [this](Host& host, bool unsent_too) {
    if (unsent_too)
      withdraw_waiting(host.member.entry.host);
    for (const auto& link : std::vector<std::shared_ptr<HostConnection>>(host.connections))
      link->retire(unsent_too);
  };
  for (const auto& member : list.hosts) {
    const std::string& id = member.entry.host;
    named.insert(id);
    Host& host = hosts_[id];
    const bool reborn = !host.member.entry.host.empty() && (member.address != host.member.address ||
                                                            member.entry.started > host.member.entry.started);
    if (reborn)
      retire(host, true);
    host.member = member;
    if (member.entry.state != HostState::ready)
      retire(host, true);
    // A new host may stand at the address of one that is gone, and be taken for it.
    for (auto& [other_id, other] : hosts_) {
      const bool taken_over =
          member.entry.state == HostState::ready && other.member.address == member.address;
      if (taken_over && other_id != id)
        retire(other, true);
    }
  }
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    Host& host = i->second;
    if (list.complete && named.count(i->first) == 0) {
      host.member.entry.state = HostState::gone;
      retire(host, true);
    }
    // Hosts that are gone are forgotten with their last connection, or every deploy would leave some behind.
    const bool forgotten = host.member.entry.state == HostState::gone && host.connections.empty() &&
                           !host.may_run_cancelled_calls(loop_.now());
    i = forgotten ? hosts_.erase(i) : std::next(i);
  }
}

// A share of the memory for each connection is too little for one long answer, where there is little;
// what counts is what has come in over all. The one that holds most goes.
void HostConnectionPool::account_incoming(HostConnection& link, std::size_t before, std::size_t now) {
  incoming_ = incoming_ + now - before;
  if (now <= before || incoming_ <= limits_.incoming)
    return;
  HostConnection* most = &link;
  std::size_t least = now;
  for (auto& [id, host] : hosts_) {
    for (const auto& other : host.connections) {
      if (other->is_closing() || other->buffered_bytes() <= least)
        continue;
      most = other.get();
      least = other->buffered_bytes();
    }
  }
  counters_.add(metrics::kHostsNoMemory);
  most->close_later();
}

// The host's side of the last look: it may have this now, whatever was decided before.
bool HostConnectionPool::allows(const std::string& id, const core::Call* call, std::uint64_t function) const {
  const auto found = hosts_.find(id);
  const bool ready = found != hosts_.end() && found->second.member.entry.state == HostState::ready;
  return ready && (!send_filter_ || send_filter_(id, call, function));
}

HostConnectionPool::Host* HostConnectionPool::ready_host(const std::string& id, const core::Call* call,
                                                         std::uint64_t function) {
  if (allows(id, call, function))
    return &hosts_.at(id);
  counters_.add(metrics::kGuardHostNotReady);
  return nullptr;
}

void HostConnectionPool::abort_unsent(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end())
    return;
  withdraw_waiting(id);
  for (const auto& link : std::vector<std::shared_ptr<HostConnection>>(found->second.connections)) {
    link->abort_pending_writes();
    if (!link->is_connecting() && link->send_queue().empty())
      continue;
    counters_.add(metrics::kHostsCutLinks);
    link->close_later();
  }
}

bool HostConnectionPool::has_no_calls(const std::string& id) const {
  const auto there = [&](const auto& entry) { return entry.second->host() == id; };
  if (std::any_of(attempts_.begin(), attempts_.end(), there))
    return false;
  const auto host = hosts_.find(id);
  return host == hosts_.end() || !host->second.may_run_cancelled_calls(loop_.now());
}

void HostConnectionPool::notify_later(std::function<void()> tell) {
  loop_.schedule_at(loop_.now(), std::move(tell));
}

void HostConnectionPool::attempt_not_sent(const core::Attempt& attempt) {
  attempts_.erase(attempt);
  notify_later([this, attempt] {
    dispatcher_->attempt_ended(attempt, {Outcome::connect_failed, 0, std::nullopt, {}});
  });
}

void HostConnectionPool::probe_not_sent(const std::string& id) {
  notify_later([this, id] {
    dispatcher_->probe_ended({id, Outcome::connect_failed, Millis(0), std::nullopt});
  });
}

void HostConnectionPool::load_not_sent(const std::string& id, std::uint64_t function) {
  notify_later([this, id, function] {
    dispatcher_->load_ended({id, function, Outcome::connect_failed, Millis(0), 0});
  });
}

void HostConnectionPool::send_attempt(const core::Attempt& attempt, const std::string& id,
                                      const core::Call& call, Millis attempt_timeout) {
  Host* host = ready_host(id, &call, call.function);
  const LinkChoice choice = host == nullptr ? LinkChoice() : connection_for(*host, call.ref);
  if (choice.local_trouble)
    return wait_for_connection(attempt, id, call, loop_.now() + attempt_timeout);
  if (choice.link == nullptr)
    return attempt_not_sent(attempt);
  send_attempt(*choice.link, attempt, call, attempt_timeout);
}

void HostConnectionPool::send_attempt(HostConnection& link, const core::Attempt& attempt,
                                      const core::Call& call, Millis attempt_timeout) {
  attempts_[attempt] = &link;
  Host& host = hosts_.at(link.host());
  const Millis now = loop_.now();
  if (host.calls_expire_at <= now)
    host.has_cancelled_calls = false;
  host.calls_expire_at = std::max(host.calls_expire_at, now + attempt_timeout);
  probes_left_ = std::min(probes_left_ + kProbeShare, kProbesMost);
  link.send_attempt(attempt, call, attempt_timeout);
}

bool HostConnectionPool::cancel_attempt(const core::Attempt& attempt) {
  if (waiting_.remove(attempt))
    return false;
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end())
    return false;
  HostConnection* link = found->second;
  attempts_.erase(found);
  hosts_.at(link->host()).has_cancelled_calls = true;
  return link->cancel_attempt(attempt);
}

void HostConnectionPool::probe(const std::string& id) {
  Host* host = ready_host(id, nullptr, 0);
  const LinkChoice choice = host == nullptr ? LinkChoice() : connection_for(*host, {});
  if (choice.link != nullptr)
    return choice.link->probe("p" + std::to_string(++last_tag_));
  if (!choice.local_trouble)
    return probe_not_sent(id);
  wait_with(WaitingSend::Kind::probe, id, 0, 0);
}

void HostConnectionPool::load_copies(const std::string& id, std::uint64_t function, int copies) {
  Host* host = ready_host(id, nullptr, copies > 0 ? function : 0);
  const LinkChoice choice = host == nullptr ? LinkChoice() : connection_for(*host, {});
  if (choice.link != nullptr) {
    return choice.link->load_copies("t" + std::to_string(++last_tag_), function, copies);
  }
  if (!choice.local_trouble)
    return load_not_sent(id, function);
  wait_with(WaitingSend::Kind::load_order, id, function, copies);
}

void HostConnectionPool::unload(const std::string& id, std::uint64_t function) {
  Host* host = ready_host(id, nullptr, 0);
  HostConnection* link = host == nullptr ? nullptr : connection_for(*host, {}).link;
  if (link != nullptr)
    link->send_line("release " + net::hex16(function));
}

core::Report HostConnectionPool::parse_report(const std::string& text) const {
  const auto fields = net::parse_fields(text, ';', ':');
  if (text.empty() || !fields)
    return std::nullopt;
  std::vector<double> values;
  for (const auto& name : limits_.report_fields) {
    const auto value = net::parse_number(field(*fields, name));
    if (!value)
      return std::nullopt;  // the module reads by place: a gap would shift the rest
    values.push_back(*value);
  }
  return values;
}

void HostConnectionPool::connection_closed(HostConnection& link) {
  --connections_;
  counters_.add(metrics::kHostsLinksEnded);
  auto& links = hosts_.at(link.host()).connections;
  const auto found =
      std::find_if(links.begin(), links.end(), [&](const auto& l) { return l.get() == &link; });
  loop_.delete_later(*found);
  links.erase(found);
}

}  // namespace lotusyard::hosts
