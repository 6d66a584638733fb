// Which tenants are regulated, and which hosts are certified for what: the same at every member that has
// applied the same entries. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "robinfold/policy.h"

namespace lotusyard::compliance {

using robinfold::Millis;

struct Regime {
  std::string name, zone;  // zone: its hosts stand there; empty: anywhere
  bool exclusive = false;  // its hosts serve no tenant that is not under it
};
struct Certificate {
  enum class State { stands, ending, ended };  // ending: revoked, and some member may still use it
  std::string name, host, regime;
  Millis from{0}, until{0};     // Unix milliseconds
  bool outlives_start = false;  // it holds for a host that has started anew, too
  double host_life = 0;         // when the host started for which it was issued
  State state = State::stands;
  std::uint64_t round = 0;  // the index at which it was revoked
};

struct Entry {
  enum class Kind {
    regime,   // one is added, or changes
    tenant,   // a tenant is under these regimes from now on; under none, if there are none
    certify,  // a host gets a certificate
    revoke,   // a certificate ends
    told,     // a member uses a revoked certificate no more
    ended     // no member does, or can
  };
  Kind kind = Kind::regime;
  std::string proposal;  // an operator's, by which its outcome can be asked for
  Regime regime;
  Certificate certificate;
  std::string tenant, member, name;
  std::set<std::string> regimes;
  std::uint64_t life = 0, round = 0;
};
std::string worded(const Entry& entry);
// Throws std::invalid_argument naming the key.
Entry read_entry(const nlohmann::json& from);

// A host as the list has it.
struct Place {
  std::string id, zone;
  double life = 0;
};
struct Verdict {
  bool may = true;
  const char* reason = nullptr;  // a counter's last word
  std::string regime;
};

class Book {
 public:
  static constexpr std::size_t certificates_most = 4096, tenants_most = 4096, outcomes_most = 256;
  struct Outcome {
    bool done = false;
    std::string why;
    std::uint64_t index = 0;
  };
  Outcome apply(std::uint64_t index, const Entry& entry);

  // Whether a call of the tenant, or a copy for it, may be at the host now. `knows`: this member's lease
  // holds, so that what it has applied is what stands; without it nothing regulated goes anywhere. `error`:
  // by so much any clock may be wrong; what may have expired has.
  Verdict may(const std::string& tenant, const Place& host, bool knows, Millis now, Millis error) const;
  bool regulated(const std::string& tenant) const;
  bool empty() const { return regimes_.empty(); }

  const std::map<std::string, Regime>& regimes() const { return regimes_; }
  const std::map<std::string, Certificate>& certificates() const { return certificates_; }
  const std::map<std::string, std::set<std::string>>& tenants() const { return tenants_; }
  // Members, and their lives, that have said that they use this certificate no more.
  bool told(const std::string& certificate, const std::string& member, std::uint64_t life) const;
  const Outcome* outcome(const std::string& proposal) const;
  std::uint64_t index() const { return index_; }

  nlohmann::json snapshot() const;
  bool restore(const nlohmann::json& from);

 private:
  std::map<std::string, Regime> regimes_;
  std::map<std::string, std::set<std::string>> tenants_;
  std::map<std::string, Certificate> certificates_;
  std::map<std::string, std::map<std::string, std::uint64_t>> told_;  // by certificate: members and lives
  std::map<std::string, Outcome> outcomes_;
  std::uint64_t index_ = 0;

  std::string change(const Entry& entry);
  bool certified(const std::string& regime, const Place& host, Millis now, Millis error) const;
  void make_room();
};

}  // namespace lotusyard::compliance
