// Where members that are not known to be present may be found. No I/O.
#pragma once

#include <string>
#include <vector>

#include "gossip/member_table.h"

namespace lotusyard::gossip {

// Addresses of dead members, and those of `seed_addresses` at which no present member is known. Without
// `self_address`; an address occurs once for each reason.
std::vector<std::string> absent_addresses(const MemberTable& members,
                                          const std::vector<std::string>& seed_addresses,
                                          const std::string& self_address);

}  // namespace lotusyard::gossip
