// Which tenants are regulated, and which hosts are certified for what: the same at every member that has
// applied the same entries. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::compliance {

using policy::Millis;

struct Regime {
  std::string name, zone;  // zone: its hosts stand there; empty: anywhere
  bool exclusive = false;  // its hosts serve no tenant that is not under it
};
struct Certificate {
  enum class State { valid, revoking, ended };  // ending: revoked, and some member may still use it
  std::string name, host, regime;
  Millis valid_from{0}, valid_until{0};  // Unix milliseconds
  bool survives_restart = false;         // it holds for a host that has started anew, too
  double host_incarnation = 0;           // when the host started for which it was issued
  State state = State::valid;
  std::uint64_t revoked_at_index = 0;  // the index at which it was revoked
};

struct LogEntry {
  enum class Kind {
    put_regime,        // one is added, or changes
    put_tenant,        // a tenant is under these regimes from now on; under none, if there are none
    certify,           // a host gets a certificate
    revoke,            // a certificate ends
    acknowledge,       // a member uses a revoked certificate no more
    finish_revocation  // no member does, or can
  };
  Kind kind = Kind::put_regime;
  std::string proposal;  // an operator's, by which its outcome can be asked for
  Regime regime;
  Certificate certificate;
  std::string tenant, member, name;
  std::set<std::string> regimes;
  std::uint64_t incarnation = 0, revoked_at_index = 0;
};
std::string encode_entry(const LogEntry& entry);
// Throws std::invalid_argument naming the key.
LogEntry parse_entry(const nlohmann::json& from);

// A host as the list has it.
struct HostLocation {
  std::string id, zone;
  double incarnation = 0;
};
struct FilterResult {
  bool allowed = true;
  const char* reason = nullptr;  // a counter's last word
  std::string regime;
};

class CertificateState {
 public:
  static constexpr std::size_t max_certificates = 4096, max_tenants = 4096, max_outcomes = 256;
  struct ProposalOutcome {
    bool done = false;
    std::string why;
    std::uint64_t index = 0;
  };
  ProposalOutcome apply(std::uint64_t index, const LogEntry& entry);

  // Whether a call of the tenant, or a copy for it, may be at the host now. `knows`: this member's lease
  // holds, so that what it has applied is what stands; without it nothing regulated goes anywhere. `error`:
  // by so much any clock may be wrong; what may have expired has.
  FilterResult check(const std::string& tenant, const HostLocation& host, bool knows, Millis now,
                     Millis error) const;
  bool is_regulated(const std::string& tenant) const;
  bool empty() const { return regimes_.empty(); }

  const std::map<std::string, Regime>& regimes() const { return regimes_; }
  const std::map<std::string, Certificate>& certificates() const { return certificates_; }
  const std::map<std::string, std::set<std::string>>& tenants() const { return tenants_; }
  // Members, and their lives, that have said that they use this certificate no more.
  bool has_acknowledged(const std::string& certificate, const std::string& member, std::uint64_t life) const;
  const ProposalOutcome* find_outcome(const std::string& proposal) const;
  std::uint64_t index() const { return index_; }

  nlohmann::json snapshot() const;
  bool restore(const nlohmann::json& from);

 private:
  std::map<std::string, Regime> regimes_;
  std::map<std::string, std::set<std::string>> tenants_;
  std::map<std::string, Certificate> certificates_;
  std::map<std::string, std::map<std::string, std::uint64_t>>
      acknowledged_;  // by certificate: members and lives
  std::map<std::string, ProposalOutcome> outcomes_;
  std::uint64_t index_ = 0;

  std::string apply_entry(const LogEntry& entry);
  bool has_certificate(const std::string& regime, const HostLocation& host, Millis now, Millis error) const;
  void expire_outcomes();
};

}  // namespace lotusyard::compliance
