#include "compliance/compliance_filter.h"

#include <utility>

#include "metrics/cluster_counters.h"

namespace lotusyard::compliance {
namespace {

// Bound on the error of a machine's wall clock, apart from steps.
constexpr Millis kClockError{1000};
// Start time of hosts that are not listed; no certificate has it.
constexpr double kUnknownIncarnation = -1;

}  // namespace

ComplianceFilter::ComplianceFilter(const InvokerServices& services, const CertificateState& state,
                                   IsLeased is_leased, LogSink log)
    : services_(services), state_(state), is_leased_(std::move(is_leased)), log_(std::move(log)) {}

// A request that was admitted under the lease must not be written after the lease has ended.
void ComplianceFilter::update() {
  const bool is_leased = is_leased_();
  const bool was_leased = std::exchange(was_leased_, is_leased);
  const bool lease_ended = was_leased && !is_leased;
  if (!lease_ended || state_.empty()) {
    return;
  }
  log_("lease over: nothing regulated goes out");
  for (const auto& [name, certificate] : state_.certificates()) {
    services_.host_connections.abort_unsent(certificate.host);
  }
}

HostLocation ComplianceFilter::locate(const std::string& host) const {
  const auto listed = services_.endpoint_states.find_listed(host);
  if (!listed) {
    return {host, {}, kUnknownIncarnation};
  }
  return {host, listed->entry.zone, listed->entry.started.count()};
}

FilterResult ComplianceFilter::check(const std::string& tenant, const std::string& host) const {
  // After a step of the wall clock a certificate is used only if it is valid by the time before and after it.
  const auto wall = services_.loop.wall_time();
  const Millis midpoint = (wall.earliest + wall.latest) / 2;
  const Millis uncertainty = (wall.latest - wall.earliest) / 2;
  return state_.check(tenant, locate(host), is_leased_(), midpoint, kClockError + uncertainty);
}

bool ComplianceFilter::allows_host(const std::string& tenant, std::uint64_t function,
                                   const std::string& host) {
  if (state_.empty()) {
    return true;
  }
  if (last_tenant_.size() >= kMaxFunctions) {
    last_tenant_.clear();
  }
  last_tenant_[function] = tenant;
  return check(tenant, host).allowed;
}

bool ComplianceFilter::check_before_write(const std::string& tenant, const std::string& host) const {
  const FilterResult result = check(tenant, host);
  if (result.allowed) {
    return true;
  }
  services_.counters.add(metrics::kComplianceStopped, result.reason);
  log_("stopped tenant=" + tenant + " regime=" + result.regime + " host=" + host +
       " reason=" + result.reason);
  return false;
}

// Between the policy's choice of the host and the write, the lease may have ended or a certificate may have
// been revoked.
bool ComplianceFilter::may_send(const std::string& host, const core::Call* call,
                                std::uint64_t function) const {
  if (state_.empty()) {
    return true;
  }
  if (call != nullptr) {
    return check_before_write(call->tenant, host);
  }
  const bool is_load_of_function = function != 0;
  if (!is_load_of_function) {
    return true;  // a query carries no tenant's data
  }
  const auto found = last_tenant_.find(function);
  return found != last_tenant_.end() && check_before_write(found->second, host);
}

void ComplianceFilter::on_rejected(const core::Call& call) const {
  if (state_.empty()) {
    return;
  }
  FilterResult last_result;
  for (const auto& [host, endpoint] : services_.endpoint_states.listed_hosts()) {
    last_result = check(call.tenant, host);
    if (last_result.allowed) {
      return;  // the call was rejected for another reason
    }
  }
  if (last_result.allowed) {
    return;  // no host is listed
  }
  services_.counters.add(metrics::kComplianceRefused, last_result.reason);
  log_("refused tenant=" + call.tenant + " regime=" + last_result.regime + " reason=" + last_result.reason);
}

}  // namespace lotusyard::compliance
