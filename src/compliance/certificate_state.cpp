#include "compliance/certificate_state.h"

#include <algorithm>

#include "core/fault_injection.h"

namespace lotusyard::compliance {

using Kind = LogEntry::Kind;
using State = Certificate::State;

CertificateState::ProposalOutcome CertificateState::apply(std::uint64_t index, const LogEntry& entry) {
  index_ = index;
  if (!entry.proposal.empty()) {
    if (const ProposalOutcome* before = find_outcome(entry.proposal)) return *before;
  }
  const std::string why = apply_entry(entry);
  const ProposalOutcome out{why.empty(), why, index};
  if (entry.proposal.empty()) return out;
  outcomes_[entry.proposal] = out;
  while (outcomes_.size() > max_outcomes) {
    const auto older = [](const auto& a, const auto& b) { return a.second.index < b.second.index; };
    outcomes_.erase(std::min_element(outcomes_.begin(), outcomes_.end(), older));
  }
  return out;
}

// Certificates that have ended give their places to new ones; the one place where the table shrinks.
void CertificateState::expire_outcomes() {
  for (auto i = certificates_.begin(); i != certificates_.end();) {
    const bool goes = i->second.state == State::ended && certificates_.size() >= max_certificates;
    if (goes) acknowledged_.erase(i->first);
    i = goes ? certificates_.erase(i) : std::next(i);
  }
}

std::string CertificateState::apply_entry(const LogEntry& e) {
  const auto found = certificates_.find(e.name);
  switch (e.kind) {
    case Kind::put_regime:
      if (regimes_.size() >= max_tenants) return "regime: too many";
      regimes_[e.regime.name] = e.regime;
      return {};
    case Kind::put_tenant:
      for (const auto& name : e.regimes) {
        if (regimes_.count(name) == 0) return "regimes: no regime " + name;
      }
      if (tenants_.size() >= max_tenants && tenants_.count(e.tenant) == 0) return "tenant: too many";
      tenants_[e.tenant] = e.regimes;
      return {};
    case Kind::certify: {
      const auto& c = e.certificate;
      if (regimes_.count(c.regime) == 0) return "regime: no regime " + c.regime;
      const auto before = certificates_.find(c.name);
      // Danger: a revoked certificate of the same name could come to stand again by an old proposal.
      if (before != certificates_.end()) return "name: there is a certificate " + c.name + " already";
      expire_outcomes();
      if (certificates_.size() >= max_certificates) return "certificates: too many";
      certificates_[c.name] = c;
      certificates_[c.name].state = State::valid;
      return {};
    }
    case Kind::revoke:
      if (found == certificates_.end()) return "name: no certificate " + e.name;
      if (found->second.state != State::valid) return "name: " + e.name + " is revoked already";
      found->second.state = State::revoking;
      found->second.revoked_at_index = index_;
      return {};
    case Kind::acknowledge:
      if (found == certificates_.end() || found->second.revoked_at_index != e.revoked_at_index)
        return "name: not of this revocation";
      acknowledged_[e.name][e.member] = e.incarnation;
      return {};
    case Kind::finish_revocation:
      if (found == certificates_.end() || found->second.state != State::revoking ||
          found->second.revoked_at_index != e.revoked_at_index)
        return "name: not of this revocation";
      found->second.state = State::ended;
      acknowledged_.erase(e.name);
      return {};
  }
  return "unknown";
}

bool CertificateState::has_acknowledged(const std::string& certificate, const std::string& member,
                                        std::uint64_t life) const {
  const auto found = acknowledged_.find(certificate);
  if (found == acknowledged_.end()) return false;
  const auto mine = found->second.find(member);
  return mine != found->second.end() && mine->second == life;
}

const CertificateState::ProposalOutcome* CertificateState::find_outcome(const std::string& proposal) const {
  const auto found = outcomes_.find(proposal);
  return found == outcomes_.end() ? nullptr : &found->second;
}

// Danger: a tenant whose regimes this member has not heard of would be served anywhere.
bool CertificateState::is_regulated(const std::string& tenant) const {
  if (regimes_.empty()) return false;
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() || !found->second.empty();
}

bool CertificateState::has_certificate(const std::string& regime, const HostLocation& host, Millis now,
                                       Millis error) const {
  return std::any_of(certificates_.begin(), certificates_.end(), [&](const auto& entry) {
    const Certificate& c = entry.second;
    const bool same_life =
        c.survives_restart || c.host_incarnation == host.incarnation || fault_injected("certificate-life");
    return c.host == host.id && c.regime == regime && c.state == State::valid && same_life &&
           now >= c.valid_from + error && now + error < c.valid_until;
  });
}

FilterResult CertificateState::check(const std::string& tenant, const HostLocation& host, bool knows,
                                     Millis now, Millis error) const {
  if (regimes_.empty()) return {};
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return {false, "regime_unknown", {}};
  const bool closed = !knows && !fault_injected("compliance-lease");
  for (const auto& name : found->second) {
    const Regime& regime = regimes_.at(name);
    if (closed) return {false, "not_known", name};
    if (!regime.zone.empty() && regime.zone != host.zone) return {false, "zone", name};
    if (!has_certificate(name, host, now, error)) return {false, "not_certified", name};
  }
  // A host of an exclusive regime serves nobody else; a member that cannot know keeps to what it knew.
  for (const auto& [name, regime] : regimes_) {
    if (!regime.exclusive || found->second.count(name) != 0) continue;
    const bool any =
        std::any_of(certificates_.begin(), certificates_.end(), [&, &name = name](const auto& entry) {
          return entry.second.host == host.id && entry.second.regime == name &&
                 entry.second.state != State::ended;
        });
    if (any) return {false, "exclusive", name};
  }
  return {};
}

}  // namespace lotusyard::compliance
