// Checks the log lines of members and invokers on their leases and on the hosts that they avoid against what
// the group has committed. No I/O.
#pragma once

#include <string>
#include <vector>

#include "support/process_harness.h"

namespace lotusyard::test {

// While operators may work on a host, every running process avoids it or uses no host at all; and a process
// that gets a lease has applied every release that operators were notified of. Returns the first violation;
// empty if there is none.
std::string violated_lease_rule(const std::vector<std::string>& lines,
                                const std::vector<Downtime>& downtimes);

}  // namespace lotusyard::test
