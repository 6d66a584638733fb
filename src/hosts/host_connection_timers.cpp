// Closes a connection that is not established in time, idle for long, silent, or stalled within an answer.
#include <utility>

#include "hosts/host_connection.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;

// Fraction of the host's idle timeout after which an idle connection is closed. If the host closed it first,
// a request could be sent at that very time.
constexpr double kIdleShare = 0.8;
// The same while connecting is impaired.
constexpr double kMaxIdleShare = 0.9;
constexpr Millis kIdleRecheckInterval{50};
constexpr Millis kSilenceCheckInterval{50};

}  // namespace

void HostConnection::on_connect_timeout() {
  services_.counters.add(metrics::kHostsConnectTimeouts);
  close_later();
}

// Starts the idle timeout, unless a request is in flight.
void HostConnection::arm_idle_timer() {
  if (is_connecting())
    return;
  loop().cancel(connect_or_idle_timer_);
  if (in_flight() > 0)
    return;
  const bool is_kept = !retired_ && (!possibly_partitioned_ || services_.is_connecting_impaired());
  const Millis limit = is_kept ? services_.limits.idle_timeout : Millis(0);
  const Millis now = loop().now();
  idle_deadline_ = now + limit * kMaxIdleShare;
  connect_or_idle_timer_ = loop().schedule_at(now + limit * kIdleShare, [this] { on_idle_timeout(); });
}

// While connecting is impaired, an open connection is kept for as long as the host is certain to keep it.
void HostConnection::on_idle_timeout() {
  if (!retired_ && services_.listener.keeps_when_idle(*this))
    return send_readiness_check();  // its answer restarts the idle timeout
  const Millis next = loop().now() + kIdleRecheckInterval;
  if (!services_.is_connecting_impaired() || retired_ || next > idle_deadline_)
    return close_later();
  connect_or_idle_timer_ = loop().schedule_at(next, [this] { on_idle_timeout(); });
}

void HostConnection::arm_silence_timer() {
  const Millis now = loop().now();
  silence_.record_sent(now);
  if (std::exchange(silence_timer_armed_, true))
    return;
  silence_timer_ = loop().schedule_at(now + kSilenceCheckInterval, [this] { check_silence(); });
}

void HostConnection::check_silence() {
  silence_timer_armed_ = false;
  if (in_flight() == 0 || is_closing())
    return;
  const Millis now = loop().now();
  if (is_open()) {
    const Millis max_silence = services_.response_times.max_silence(services_.limits.max_silence);
    switch (silence_.check(now, max_silence, !attempts_.empty())) {
      case SilenceMonitor::Action::none:
        break;
      case SilenceMonitor::Action::send_probe:
        send_liveness_probe();
        break;
      case SilenceMonitor::Action::close_incomplete:
        services_.counters.add(metrics::kHostsCutAnswers);
        return close_later();
      case SilenceMonitor::Action::close_unresponsive:
        services_.counters.add(metrics::kHostsSilentLinks);
        return close_later();
    }
  }
  if (std::exchange(silence_timer_armed_, true))
    return;  // sending the probe has armed it
  silence_timer_ = loop().schedule_at(now + kSilenceCheckInterval, [this] { check_silence(); });
}

// Where the settings forbid health checks, a load request for 0 copies serves the same purpose; it names a
// function that a client has called. It must not be sent to a draining host.
void HostConnection::send_liveness_probe() {
  const LivenessProbe probe = services_.limits.liveness;
  if (probe == LivenessProbe::none)
    return;
  const std::uint64_t function = attempts_.begin()->second.function;
  const bool is_load_request = probe == LivenessProbe::order;
  if (is_load_request && !services_.listener.may_send(host_, nullptr, function))
    return;
  if (!services_.probe_budget.try_take())
    return;
  services_.counters.add(metrics::kHostsLivenessProbes);
  silence_.record_probe(loop().now());
  const std::string tag = services_.tags.next_liveness_tag();
  PendingWrite request;
  request.kind = is_load_request ? PendingWrite::Kind::load : PendingWrite::Kind::unchecked;
  request.message = is_load_request ? encode(LoadRequest{tag, function, 0}) : encode(HealthCheckRequest{tag});
  request.function = function;
  send_query(tag, Query::Kind::liveness, std::move(request), 0);
}

// Calls may be waiting for the answer to a readiness check, so its timeout is short.
Millis HostConnection::timeout_of(Query::Kind kind) const {
  return kind == Query::Kind::readiness ? services_.limits.connect_timeout : services_.limits.order_timeout;
}

void HostConnection::on_query_timeout(const std::string& tag) {
  const auto found = queries_.find(tag);
  if (found == queries_.end())
    return;
  const Query query = found->second;
  queries_.erase(found);
  arm_idle_timer();
  finish_query(query, Outcome::timeout, 0, std::nullopt);
}

void HostConnection::cancel_timers() {
  loop().cancel(connect_or_idle_timer_);
  loop().cancel(unread_timer_);
  loop().cancel(silence_timer_);
  loop().cancel(recheck_timer_);
  loop().cancel(stalled_write_timer_);
}

}  // namespace lotusyard::hosts
