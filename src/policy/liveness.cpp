#include "policy/liveness.h"

#include <utility>

namespace lotusyard::policy {

void Liveness::record_broken_connection(Host& host, bool reset) {
  const Settings& settings = context_.settings();
  const bool can_probe =
      settings.host_protocol.accepts_probes || (settings.load_orders.allowed && !functions_.all().empty());
  if (!can_probe || !host.is_ready())
    return record_unreachable(host, reset);
  const bool probe_in_flight = context_.now() - host.suspected_at <= kMinStall;
  host.suspected_by_reset = reset || (host.suspected_by_reset && probe_in_flight);
  if (probe_in_flight)
    return;
  host.failed_probes = 0;
  send_probe(host);
}

// Where health checks are not allowed, a load order for zero instances replaces them.
void Liveness::send_probe(Host& host) {
  host.suspected_at = context_.now();
  if (context_.settings().host_protocol.accepts_probes)
    return context_.emit(action::Probe{host.entry.host});
  if (functions_.all().empty())
    return;  // new settings forbid health checks; the suspicion expires by itself
  host.probe_function = functions_.all().back()->id;
  context_.emit(action::Load{host.entry.host, host.probe_function, 0});
}

void Liveness::record_probe(Host& host, Outcome outcome) {
  const Millis suspected_at = std::exchange(host.suspected_at, kNever);
  if (outcome == Outcome::ok)
    return record_alive(host);
  if (suspected_at <= kNever || outcome == Outcome::timeout) {
    if (!answered_recently(host))
      record_loss(host);
    return;
  }
  // New connections may be reset while the host runs: an answer in the meantime proves that it does.
  if (host.answered_at > suspected_at)
    return;
  if (++host.failed_probes < kMaxFailedProbes)
    return send_probe(host);
  record_unreachable(host, host.suspected_by_reset);
}

void Liveness::record_unreachable(Host& host, bool was_reset) {
  if (was_reset || !answered_recently(host))
    record_loss(host);
  outliers_.eject(host);
}

// A host that restarted but is not yet listed as restarted would get its full load from many invokers: from
// now on it counts as in slow start.
void Liveness::record_loss(Host& host) {
  if (!std::exchange(host.lost, true))
    functions_.drop_instances(hosts_.index_of(host));
}

void Liveness::record_alive(Host& host) {
  host.answered_at = context_.now();
  if (!std::exchange(host.lost, false))
    return;
  host.recovered_at = context_.now();
  host.tokens_at = kNever;
}

}  // namespace lotusyard::policy
