// Replicated state of compliance: which tenants are regulated, and which hosts are certified for which
// regimes. Deterministic: members that have applied the same entries hold the same state. Does no I/O; the
// time is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "compliance/certificate.h"
#include "compliance/host_eligibility.h"
#include "compliance/log_entry.h"

namespace lotusyard::compliance {

class CertificateState {
 public:
  static constexpr std::size_t kMaxCertificates = 4096;
  static constexpr std::size_t kMaxTenants = 4096;
  static constexpr std::size_t kMaxOutcomes = 256;

  // The result of an entry, retained so that the operator who proposed it can query it.
  struct ProposalOutcome {
    // Whether the entry took effect.
    bool done = false;
    // Why it was rejected, as shown to operators: "KEY: what is wrong".
    std::string why;
    // Log index at which the proposal was first applied.
    std::uint64_t index = 0;
  };

  // Applies the entry at the log index. An entry whose proposal id has been applied before changes nothing
  // and returns the first outcome.
  ProposalOutcome apply(std::uint64_t index, const LogEntry& entry);

  // Whether the host may serve a call of the tenant; see `check_host`.
  FilterResult check(const std::string& tenant, const HostLocation& host, bool is_leased, Millis now,
                     Millis clock_error) const;

  // Whether the tenant is subject to a regime. A tenant without an entry counts as regulated.
  bool is_regulated(const std::string& tenant) const;

  // Whether no regime is defined, so that every call is allowed.
  bool empty() const { return regimes_.empty(); }

  const std::map<std::string, Regime>& regimes() const { return regimes_; }
  const std::map<std::string, Certificate>& certificates() const { return certificates_; }
  // Regimes by tenant.
  const std::map<std::string, std::set<std::string>>& tenants() const { return tenants_; }

  // Whether the member, in this incarnation, has reported that it no longer uses the revoked certificate.
  bool has_acknowledged(const std::string& certificate, const std::string& member,
                        std::uint64_t incarnation) const;

  // Null if the proposal is unknown or its outcome has been evicted. Valid until the state changes.
  const ProposalOutcome* find_outcome(const std::string& proposal_id) const;

  // Log index of the last entry applied.
  std::uint64_t index() const { return index_; }

  nlohmann::json snapshot() const;

  // Replaces the state by a snapshot. Returns false, and leaves the state unchanged, if it is not a valid
  // one.
  bool restore(const nlohmann::json& from);

 private:
  struct Rejection {
    std::string why;
  };
  using CommandResult = std::optional<Rejection>;
  using MemberIncarnations = std::map<std::string, std::uint64_t>;

  std::map<std::string, Regime> regimes_;
  std::map<std::string, std::set<std::string>> tenants_;
  std::map<std::string, Certificate> certificates_;
  // Members that have acknowledged a revocation, by certificate.
  std::map<std::string, MemberIncarnations> acknowledged_;
  std::map<std::string, ProposalOutcome> outcomes_;
  std::uint64_t index_ = 0;

  CommandResult apply_command(const PutRegime& command);
  CommandResult apply_command(const PutTenant& command);
  CommandResult apply_command(const Certify& command);
  CommandResult apply_command(const Revoke& command);
  CommandResult apply_command(const Acknowledge& command);
  CommandResult apply_command(const FinishRevocation& command);

  // Null if there is no certificate of this name that was revoked at this index.
  Certificate* find_revoked(const std::string& name, std::uint64_t revoked_at_index);
  void evict_ended_certificates();
  void store_outcome(const std::string& proposal_id, const ProposalOutcome& outcome);
};

}  // namespace lotusyard::compliance
