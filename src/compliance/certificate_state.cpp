#include "compliance/certificate_state.h"

#include <algorithm>
#include <utility>

#include "compliance/certificate_codec.h"

namespace lotusyard::compliance {
namespace {

using nlohmann::json;
using State = Certificate::State;

constexpr const char* kWrongRevocation = "name: not of this revocation";

}  // namespace

CertificateState::ProposalOutcome CertificateState::apply(std::uint64_t index, const LogEntry& entry) {
  index_ = index;
  if (const ProposalOutcome* first_outcome = find_outcome(entry.proposal_id)) {
    return *first_outcome;
  }
  const CommandResult rejection =
      std::visit([this](const auto& command) { return apply_command(command); }, entry.command);
  ProposalOutcome outcome{!rejection, rejection ? rejection->why : std::string(), index};
  if (!entry.proposal_id.empty()) {
    store_outcome(entry.proposal_id, outcome);
  }
  return outcome;
}

void CertificateState::store_outcome(const std::string& proposal_id, const ProposalOutcome& outcome) {
  outcomes_[proposal_id] = outcome;
  const auto is_older = [](const auto& a, const auto& b) { return a.second.index < b.second.index; };
  while (outcomes_.size() > kMaxOutcomes) {
    outcomes_.erase(std::min_element(outcomes_.begin(), outcomes_.end(), is_older));
  }
}

CertificateState::CommandResult CertificateState::apply_command(const PutRegime& command) {
  if (regimes_.size() >= kMaxTenants) {
    return Rejection{"regime: too many"};
  }
  regimes_[command.regime.name] = command.regime;
  return std::nullopt;
}

CertificateState::CommandResult CertificateState::apply_command(const PutTenant& command) {
  for (const auto& regime : command.regimes) {
    if (regimes_.count(regime) == 0) {
      return Rejection{"regimes: no regime " + regime};
    }
  }
  if (tenants_.size() >= kMaxTenants && tenants_.count(command.tenant) == 0) {
    return Rejection{"tenant: too many"};
  }
  tenants_[command.tenant] = command.regimes;
  return std::nullopt;
}

CertificateState::CommandResult CertificateState::apply_command(const Certify& command) {
  const Certificate& certificate = command.certificate;
  if (regimes_.count(certificate.regime) == 0) {
    return Rejection{"regime: no regime " + certificate.regime};
  }
  // Names are not reused: an old proposal that arrives late must not make a revoked certificate valid again.
  if (certificates_.count(certificate.name) != 0) {
    return Rejection{"name: there is a certificate " + certificate.name + " already"};
  }
  evict_ended_certificates();
  if (certificates_.size() >= kMaxCertificates) {
    return Rejection{"certificates: too many"};
  }
  Certificate& added = certificates_[certificate.name];
  added = certificate;
  added.state = State::valid;
  return std::nullopt;
}

// Makes room for a new certificate. Nothing else removes certificates.
void CertificateState::evict_ended_certificates() {
  auto current = certificates_.begin();
  while (current != certificates_.end() && certificates_.size() >= kMaxCertificates) {
    if (current->second.state != State::ended) {
      ++current;
      continue;
    }
    acknowledged_.erase(current->first);
    current = certificates_.erase(current);
  }
}

CertificateState::CommandResult CertificateState::apply_command(const Revoke& command) {
  const auto found = certificates_.find(command.certificate);
  if (found == certificates_.end()) {
    return Rejection{"name: no certificate " + command.certificate};
  }
  Certificate& certificate = found->second;
  if (certificate.state != State::valid) {
    return Rejection{"name: " + command.certificate + " is revoked already"};
  }
  certificate.state = State::revoking;
  certificate.revoked_at_index = index_;
  return std::nullopt;
}

CertificateState::CommandResult CertificateState::apply_command(const Acknowledge& command) {
  if (find_revoked(command.certificate, command.revoked_at_index) == nullptr) {
    return Rejection{kWrongRevocation};
  }
  acknowledged_[command.certificate][command.member] = command.incarnation;
  return std::nullopt;
}

CertificateState::CommandResult CertificateState::apply_command(const FinishRevocation& command) {
  Certificate* certificate = find_revoked(command.certificate, command.revoked_at_index);
  if (certificate == nullptr || certificate->state != State::revoking) {
    return Rejection{kWrongRevocation};
  }
  certificate->state = State::ended;
  acknowledged_.erase(command.certificate);
  return std::nullopt;
}

Certificate* CertificateState::find_revoked(const std::string& name, std::uint64_t revoked_at_index) {
  const auto found = certificates_.find(name);
  if (found == certificates_.end() || found->second.revoked_at_index != revoked_at_index) {
    return nullptr;
  }
  return &found->second;
}

bool CertificateState::has_acknowledged(const std::string& certificate, const std::string& member,
                                        std::uint64_t incarnation) const {
  const auto members = acknowledged_.find(certificate);
  if (members == acknowledged_.end()) {
    return false;
  }
  const auto found = members->second.find(member);
  return found != members->second.end() && found->second == incarnation;
}

const CertificateState::ProposalOutcome* CertificateState::find_outcome(
    const std::string& proposal_id) const {
  const auto found = outcomes_.find(proposal_id);
  return found == outcomes_.end() ? nullptr : &found->second;
}

// A tenant without an entry counts as regulated: this member may not have received its regimes yet.
bool CertificateState::is_regulated(const std::string& tenant) const {
  if (regimes_.empty()) {
    return false;
  }
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() || !found->second.empty();
}

FilterResult CertificateState::check(const std::string& tenant, const HostLocation& host, bool is_leased,
                                     Millis now, Millis clock_error) const {
  return check_host(*this, tenant, host, {is_leased, now, clock_error});
}

json CertificateState::snapshot() const {
  json regimes = json::array();
  for (const auto& [name, regime] : regimes_) {
    regimes.push_back(to_json(regime));
  }
  json certificates = json::array();
  for (const auto& [name, certificate] : certificates_) {
    certificates.push_back(to_json(certificate));
  }
  json outcomes = json::array();
  for (const auto& [proposal_id, outcome] : outcomes_) {
    outcomes.push_back({proposal_id, outcome.done, outcome.why, outcome.index});
  }
  return {{"index", index_},       {"regimes", regimes},   {"tenants", tenants_},
          {"told", acknowledged_}, {"outcomes", outcomes}, {"certificates", certificates}};
}

bool CertificateState::restore(const json& from) {
  try {
    CertificateState restored;
    from.at("index").get_to(restored.index_);
    from.at("tenants").get_to(restored.tenants_);
    from.at("told").get_to(restored.acknowledged_);
    for (const auto& row : from.at("regimes")) {
      const Regime regime = parse_regime(row);
      restored.regimes_[regime.name] = regime;
    }
    for (const auto& row : from.at("certificates")) {
      const Certificate certificate = parse_certificate(row);
      restored.certificates_[certificate.name] = certificate;
    }
    for (const auto& row : from.at("outcomes")) {
      restored.outcomes_[row.at(0)] = {row.at(1).get<bool>(), row.at(2).get<std::string>(),
                                       row.at(3).get<std::uint64_t>()};
    }
    for (const auto& [tenant, regimes] : restored.tenants_) {
      for (const auto& regime : regimes) {
        (void)restored.regimes_.at(regime);
      }
    }
    *this = std::move(restored);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace lotusyard::compliance
