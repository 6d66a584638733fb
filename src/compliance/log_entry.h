// The commands that members replicate to change the compliance state, one type for each.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <variant>

#include "compliance/certificate.h"

namespace lotusyard::compliance {

// Adds a regime or replaces the one of the same name.
struct PutRegime {
  Regime regime;
};

// Replaces the set of regimes that a tenant is subject to; an empty set makes it unregulated.
struct PutTenant {
  // May be empty: calls without a tenant are regulated under the empty name.
  std::string tenant;
  std::set<std::string> regimes;
};

// Issues a certificate to a host.
struct Certify {
  Certificate certificate;
};

// Revokes a certificate. No call is sent under it from then on.
struct Revoke {
  std::string certificate;
};

// A member reports that none of its calls uses a revoked certificate any more.
struct Acknowledge {
  std::string certificate;
  std::string member;
  std::uint64_t incarnation = 0;  // of the member
  std::uint64_t revoked_at_index = 0;
};

// Ends a revocation that all members have acknowledged.
struct FinishRevocation {
  std::string certificate;
  std::uint64_t revoked_at_index = 0;
};

using Command = std::variant<PutRegime, PutTenant, Certify, Revoke, Acknowledge, FinishRevocation>;

// Whether operators may propose the command. The others are proposed by members only.
bool is_operator_command(const Command& command);

struct LogEntry {
  Command command;
  // Chosen by the operator who proposed the entry, to query its outcome later; empty for members' own
  // entries.
  std::string proposal_id = {};
  // Valid fields that the sender supplied but the command does not use. They have no effect, but an entry
  // that is forwarded or logged keeps them. Null if there are none.
  nlohmann::json unused_fields = {};
};

}  // namespace lotusyard::compliance
