#include "policy/host_load.h"

#include <algorithm>

namespace lotusyard::policy {

void HostLoad::apply_settings() {
  const auto& fields = context_.settings().load_reports.fields;
  reports_queue_ = std::count(fields.begin(), fields.end(), ReportField::queue) > 0;
}

double HostLoad::stretch(const Host& host) const {
  const double fleet = 1 + (fleet_stretch_ - 1) * context_.decay(fleet_stretch_at_, kStretchTimeConstant);
  const double recent = context_.decay(host.stretch_at, kStretchTimeConstant);
  const double measured = host.stretch * recent + fleet * (1 - recent);
  const bool reported = context_.now() - host.waiting_at <= kStretchTimeConstant;
  if (!reported)
    return measured;
  return std::max(1 + host.waiting / concurrency(host), 1 + (measured - 1) / 2);
}

void HostLoad::record_stretch(Host& host, double stretch_of_answer) {
  const double sample = std::min(std::max(stretch_of_answer, 0.0), kMaxStretch);
  const double before = stretch(host);
  host.stretch = before + (sample > before ? kStretchRiseGain : kSparseGain) * (sample - before);
  host.stretch_at = context_.now();
  adapt_limit(host);
  fleet_stretch_ += (sample > fleet_stretch_ ? kFleetStretchRiseGain : kRunGain) * (sample - fleet_stretch_);
  fleet_stretch_at_ = context_.now();
}

void HostLoad::adapt_limit(Host& host) const {
  if (host.stretch < kOversubscribedStretch) {
    const double step = host.in_flight + kLimitHeadroom >= host.limit ? 1 / host.limit : 0;
    host.limit = std::min(kMaxConcurrencyLimit, host.limit + step);
  } else if (context_.now() - host.limit_cut_at > kFullBackoff) {
    host.limit_cut_at = context_.now();
    host.limit = std::max(context_.many_invokers() ? kMinConcurrencyLimitManyInvokers : kMinConcurrencyLimit,
                          host.limit * kConcurrencyDecrease);
  }
}

void HostLoad::record_full(Host& host, Millis pause) {
  host.full_until = context_.now() + pause;
  host.waiting_at = kNever;
  record_stretch(host, kFullStretch);
}

double HostLoad::busyness(const Host& host) const {
  const double calls = (host.in_flight + kBusynessOffset) * std::max(1.0, stretch(host));
  const double busy = calls / std::max(host.entry.weight, kMinWeight);
  return host.entry.zone == context_.settings().zone ? busy : busy * kRemoteZonePenalty;
}

// Calls that the host serves concurrently. It is estimated because ten calls overload two cores but leave
// most of twenty-four idle, and hosts wrongly seen as overloaded would get needless instances. Estimated over
// all hosts: a single one would be taken for small until it had reported enough.
double HostLoad::concurrency(const Host& host) const {
  if (sampled_used_weight_ <= 0)
    return kDefaultConcurrency;
  const double sampled = kUncontendedUtilisation * host.entry.weight * sampled_calls_ / sampled_used_weight_;
  return std::min(std::max(kDefaultConcurrency, sampled), kMaxConcurrencyLimit);
}

void HostLoad::sample_concurrency(const Host& host, const std::vector<double>& report) {
  const auto& fields = context_.settings().load_reports.fields;
  const auto reported = [&](ReportField field) {
    const auto found = std::find(fields.begin(), fields.end(), field);
    const auto index = static_cast<std::size_t>(found - fields.begin());
    return index < report.size() ? report[index] : -1;
  };
  const double calls = reported(ReportField::inflight);
  const double utilisation = reported(ReportField::utilisation);
  if (calls < 0 || utilisation < 0)
    return;
  // Calls that wait for a load or a core do not show how many calls the host serves concurrently.
  if (utilisation > kMaxSampledUtilisation || reported(ReportField::loading) > kMaxSampledLoads)
    return;
  sampled_calls_ += kConcurrencyGain * (std::min(calls, kMaxReportedCalls) - sampled_calls_);
  sampled_used_weight_ += kConcurrencyGain * (utilisation * host.entry.weight - sampled_used_weight_);
}

double HostLoad::reported_calls(const Host& host) const {
  const double recent = context_.decay(host.reported_at, kReportTimeConstant);
  return mean_reported_calls_ + (host.reported_calls - mean_reported_calls_) * recent;
}

void HostLoad::record_report(Host& host, const Report& report) {
  if (!report)
    return;
  sample_concurrency(host, *report);
  const auto& fields = context_.settings().load_reports.fields;
  for (std::size_t i = 0; i < report->size() && i < fields.size(); ++i) {
    const bool is_queue = fields[i] == ReportField::queue;
    const bool is_load = !reports_queue_ && fields[i] == ReportField::inflight;
    if (is_queue || is_load)
      record_calls(host, (*report)[i], is_queue);
  }
}

void HostLoad::record_calls(Host& host, double calls, bool only_waiting) {
  const double sample = std::min(std::max(calls, 0.0), kMaxReportedCalls);
  const double gain = context_.now() - host.reported_at > kReportTimeConstant ? 1 : kReportGain;
  const double before = reported_calls(host);
  host.reported_calls = before + gain * (sample - before);
  host.reported_at = context_.now();
  mean_reported_calls_ += kRunGain * (sample - mean_reported_calls_);
  host.waiting = std::max(sample - (only_waiting ? 0 : concurrency(host)), 0.0);
  host.waiting_at = context_.now();
}

bool HostLoad::has_capacity(const Host& host) const {
  return host.in_flight < host.limit && context_.now() >= host.full_until;
}

}  // namespace lotusyard::policy
