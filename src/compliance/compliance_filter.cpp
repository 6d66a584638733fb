#include "compliance/compliance_filter.h"

#include <utility>

namespace lotusyard::compliance {
namespace {

constexpr Millis kClockError{1000};  // by so much a machine's clock may be wrong

}  // namespace

ComplianceFilter::ComplianceFilter(const InvokerServices& wiring, const CertificateState& book,
                                   IsLeased knows, LogSink note)
    : services_(wiring), state_(book), is_leased_(std::move(knows)), log_(std::move(note)) {}

// What was decided while this process knew must not go out after it.
void ComplianceFilter::update() {
  const bool knows = is_leased_();
  const bool ended = std::exchange(was_leased_, knows) && !knows;
  if (!ended || state_.empty()) return;
  log_("lease over: nothing regulated goes out");
  for (const auto& [name, certificate] : state_.certificates())
    services_.host_connections.abort_unsent(certificate.host);
}

FilterResult ComplianceFilter::check(const std::string& tenant, const std::string& host) const {
  const auto listed = services_.endpoint_states.find_listed(host);
  HostLocation place{host, {}, -1};
  if (listed) place = {host, listed->entry.zone, listed->entry.started.count()};
  // After a step of the wall clock a certificate holds only if it does by the settings before and after it.
  const auto wall = services_.loop.wall();
  const Millis middle = (wall.earliest + wall.latest) / 2, doubt = (wall.latest - wall.earliest) / 2;
  return state_.check(tenant, place, is_leased_(), middle, kClockError + doubt);
}

bool ComplianceFilter::allows_host(const std::string& tenant, std::uint64_t function,
                                   const std::string& host) {
  if (state_.empty()) return true;
  if (tenant_of_.size() >= max_functions) tenant_of_.clear();  // the one place where it shrinks
  tenant_of_[function] = tenant;
  return check(tenant, host).allowed;
}

bool ComplianceFilter::check_before_write(const std::string& tenant, const std::string& host) const {
  const FilterResult verdict = check(tenant, host);
  if (verdict.allowed) return true;
  services_.counters.add(std::string("compliance.stopped.") + verdict.reason);
  log_("stopped tenant=" + tenant + " regime=" + verdict.regime + " host=" + host +
       " reason=" + verdict.reason);
  return false;
}

// Danger: between the module's choice and the kernel a lease may have ended, or a revocation have come.
bool ComplianceFilter::may_send(const std::string& host, const core::Call* call,
                                std::uint64_t function) const {
  if (state_.empty()) return true;
  if (call != nullptr) return check_before_write(call->tenant, host);
  if (function == 0) return true;  // it only asks
  const auto found = tenant_of_.find(function);
  return found != tenant_of_.end() && check_before_write(found->second, host);
}

void ComplianceFilter::on_rejected(const core::Call& call) const {
  if (state_.empty()) return;
  FilterResult verdict;
  for (const auto& [host, member] : services_.endpoint_states.listed_hosts()) {
    verdict = check(call.tenant, host);
    if (verdict.allowed) return;  // not refused by these rules
  }
  if (verdict.allowed) return;
  services_.counters.add(std::string("compliance.refused.") + verdict.reason);
  log_("refused tenant=" + call.tenant + " regime=" + verdict.regime + " reason=" + verdict.reason);
}

}  // namespace lotusyard::compliance
