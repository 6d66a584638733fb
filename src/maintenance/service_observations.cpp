#include "maintenance/service_observations.h"

#include <algorithm>

namespace lotusyard::maintenance {
namespace {

std::string unexpected_failure_reason(const std::string& host, const std::string& reporter) {
  return "host " + host + " is down unasked, says " + reporter;
}

}  // namespace

bool ServiceObservations::is_reporting(const MemberProgress& member) const {
  return member.serves && member.has_reported &&
         now_ - member.last_heartbeat_at <= terms_.presumed_dead_after();
}

double ServiceObservations::failed_share() const {
  double calls = 0;
  double failed = 0;
  for (const auto& [name, member] : state_.members()) {
    if (!is_reporting(member))
      continue;
    calls += member.observations.calls_per_second;
    failed += member.observations.failed_per_second;
  }
  return calls > 0 ? std::min(1.0, failed / calls) : 0;
}

double ServiceObservations::serving_value(const std::string& host) const {
  double sum = 0;
  for (const auto& [name, member] : state_.members()) {
    if (!is_reporting(member))
      continue;
    const auto found = member.observations.serving_value.find(host);
    if (found != member.observations.serving_value.end())
      sum += found->second;
  }
  return sum;
}

std::string ServiceObservations::unexpected_failure() const {
  bool any_reporting = false;
  for (const auto& [name, member] : state_.members()) {
    if (!is_reporting(member))
      continue;
    any_reporting = true;
    for (const auto& id : member.observations.down) {
      const auto found = state_.hosts().find(id);
      const bool is_expected = found != state_.hosts().end() && counts_against_bounds(found->second.stage);
      if (!is_expected)
        return unexpected_failure_reason(id, name);
    }
  }
  return any_reporting ? std::string() : "no member that serves calls tells what it sees";
}

}  // namespace lotusyard::maintenance
