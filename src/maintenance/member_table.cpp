#include "maintenance/member_table.h"

#include <algorithm>

namespace lotusyard::maintenance {

bool MemberTable::join(const std::string& member, std::uint64_t incarnation, bool serves, Millis now) {
  if (member.empty() || incarnation <= last_incarnation(member))
    return false;
  incarnations_[member] = incarnation;
  members_[member] = MemberProgress{incarnation, serves, 0, 0, {}, {}, false, now};
  return true;
}

bool MemberTable::remove(const std::string& member) { return members_.erase(member) != 0; }

void MemberTable::record(const Heartbeat& heartbeat, Millis now) {
  const auto found = members_.find(heartbeat.member);
  if (found == members_.end() || found->second.incarnation != heartbeat.incarnation)
    return;
  MemberProgress& member = found->second;
  member.applied_index = std::max(member.applied_index, heartbeat.applied_index);
  member.followed_index =
      std::max(member.followed_index, heartbeat.followed_index.value_or(heartbeat.applied_index));
  member.drained_hosts = heartbeat.drained_hosts;
  member.last_heartbeat_at = now;
  if (!heartbeat.observations)
    return;
  member.observations = *heartbeat.observations;
  member.has_reported = true;
}

std::uint64_t MemberTable::last_incarnation(const std::string& member) const {
  const auto found = incarnations_.find(member);
  return found == incarnations_.end() ? 0 : found->second;
}

int MemberTable::min_listed_hosts() const {
  int least = 0;
  for (const auto& [name, member] : members_) {
    const int listed = member.observations.listed_hosts;
    if (!member.serves || !member.has_reported || listed <= 0)
      continue;
    least = least == 0 ? listed : std::min(least, listed);
  }
  return least;
}

const std::string* MemberTable::find_member_behind(std::uint64_t index) const {
  for (const auto& [name, member] : members_) {
    if (member.serves && member.followed_index < index)
      return &name;
  }
  return nullptr;
}

}  // namespace lotusyard::maintenance
