// What the lines of members and invokers say of their leases and of the hosts that they leave alone, held
// against what the group agreed upon. No I/O.
#pragma once

#include <string>
#include <vector>

#include "support/process_harness.h"

namespace lotusyard::test {

// While operators may have a host, every process that runs leaves it alone or uses no host at all; and
// whoever gets a lease has followed every taking that operators were told of. Empty: none of this is broken.
std::string broken_lease_rule(const std::vector<std::string>& lines, const std::vector<Downtime>& downtimes);

}  // namespace lotusyard::test
