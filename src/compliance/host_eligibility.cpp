#include "compliance/host_eligibility.h"

#include <algorithm>
#include <set>

#include "compliance/certificate_state.h"
#include "core/fault_injection.h"

namespace lotusyard::compliance {
namespace {

using State = Certificate::State;

// Clocks may be wrong by `clock_error`: the certificate has to be valid by the slowest and by the fastest
// one.
bool is_within_validity(const Certificate& certificate, const EvaluationContext& context) {
  const bool has_begun = context.now >= certificate.valid_from + context.clock_error;
  const bool has_not_expired = context.now + context.clock_error < certificate.valid_until;
  return has_begun && has_not_expired;
}

bool covers_incarnation(const Certificate& certificate, const HostLocation& host) {
  if (certificate.survives_restart || certificate.host_incarnation == host.incarnation) {
    return true;
  }
  return fault_injected("certificate-life");
}

bool is_certificate_of(const Certificate& certificate, const std::string& host, const std::string& regime) {
  return certificate.host == host && certificate.regime == regime;
}

bool has_valid_certificate(const CertificateState& state, const std::string& regime, const HostLocation& host,
                           const EvaluationContext& context) {
  const auto permits = [&](const auto& entry) {
    const Certificate& certificate = entry.second;
    if (!is_certificate_of(certificate, host.id, regime) || certificate.state != State::valid) {
      return false;
    }
    return covers_incarnation(certificate, host) && is_within_validity(certificate, context);
  };
  const auto& certificates = state.certificates();
  return std::any_of(certificates.begin(), certificates.end(), permits);
}

bool has_unended_certificate(const CertificateState& state, const std::string& host,
                             const std::string& regime) {
  const auto& certificates = state.certificates();
  return std::any_of(certificates.begin(), certificates.end(), [&](const auto& entry) {
    return is_certificate_of(entry.second, host, regime) && entry.second.state != State::ended;
  });
}

FilterResult check_regimes_of_tenant(const CertificateState& state, const std::set<std::string>& regimes,
                                     const HostLocation& host, const EvaluationContext& context) {
  const bool may_be_outdated = !context.is_leased && !fault_injected("compliance-lease");
  for (const auto& name : regimes) {
    const Regime& regime = state.regimes().at(name);
    if (may_be_outdated) {
      return {false, "not_known", name};
    }
    if (!regime.zone.empty() && regime.zone != host.zone) {
      return {false, "zone", name};
    }
    if (!has_valid_certificate(state, name, host, context)) {
      return {false, "not_certified", name};
    }
  }
  return {};
}

// A host of an exclusive regime serves no other tenant, also while its certificate is being revoked. A member
// without a lease applies the rule to the last state it has.
FilterResult check_exclusive_regimes(const CertificateState& state, const std::set<std::string>& regimes,
                                     const HostLocation& host) {
  for (const auto& [name, regime] : state.regimes()) {
    if (!regime.exclusive || regimes.count(name) != 0) {
      continue;
    }
    if (has_unended_certificate(state, host.id, name)) {
      return {false, "exclusive", name};
    }
  }
  return {};
}

}  // namespace

FilterResult check_host(const CertificateState& state, const std::string& tenant, const HostLocation& host,
                        const EvaluationContext& context) {
  if (state.regimes().empty()) {
    return {};
  }
  const auto found = state.tenants().find(tenant);
  if (found == state.tenants().end()) {
    return {false, "regime_unknown", {}};
  }
  const std::set<std::string>& regimes = found->second;
  const FilterResult result = check_regimes_of_tenant(state, regimes, host, context);
  return result.allowed ? check_exclusive_regimes(state, regimes, host) : result;
}

}  // namespace lotusyard::compliance
