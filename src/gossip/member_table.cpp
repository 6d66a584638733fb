#include "gossip/member_table.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace lotusyard::gossip {

const MemberRecord* MemberTable::find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second.record;
}

void MemberTable::add_to_counts(const MemberRecord& record) {
  if (is_present(record.status))
    ++present_count_;
  if (record.status == MemberStatus::suspect)
    suspects_.insert(record.name);
}

void MemberTable::remove_from_counts(const MemberRecord& record) {
  if (is_present(record.status))
    --present_count_;
  if (record.status == MemberStatus::suspect)
    suspects_.erase(record.name);
}

// Returns false if no member is absent.
bool MemberTable::evict_longest_absent() {
  auto oldest = members_.end();
  for (auto member = members_.begin(); member != members_.end(); ++member) {
    if (is_present(member->second.record.status))
      continue;
    const bool is_older = oldest == members_.end() || member->second.since < oldest->second.since;
    if (is_older)
      oldest = member;
  }
  if (oldest == members_.end())
    return false;
  members_.erase(oldest);
  return true;
}

MemberTable::MergeResult MemberTable::merge(const MemberRecord& record, Millis now) {
  auto found = members_.find(record.name);
  if (found == members_.end()) {
    const bool is_full = members_.size() >= timing_.max_members;
    if (is_full && !evict_longest_absent())
      return MergeResult::rejected;
    found = members_.emplace(record.name, Member{record, now, {}}).first;
  } else {
    Member& known = found->second;
    if (!supersedes(record, known.record))
      return merge_confirmation(known, record);
    remove_from_counts(known.record);
    known = {record, now, {}};
  }
  add_to_counts(record);
  if (record.status == MemberStatus::suspect)
    found->second.suspecting.insert(record.suspected_by);
  return MergeResult::updated;
}

// For a record that does not supersede the known one: it may still come from one more suspecting member.
MemberTable::MergeResult MemberTable::merge_confirmation(Member& member, const MemberRecord& record) const {
  const bool is_older = supersedes(member.record, record);
  if (is_older || record.status != MemberStatus::suspect)
    return MergeResult::unchanged;
  if (member.suspecting.size() > timing_.suspicion_confirmations)
    return MergeResult::unchanged;
  const bool inserted = member.suspecting.insert(record.suspected_by).second;
  return inserted ? MergeResult::confirmed : MergeResult::unchanged;
}

Millis MemberTable::suspicion_expiry(const Member& member, double timeout_multiplier) const {
  const std::size_t confirmations = member.suspecting.empty() ? 0 : member.suspecting.size() - 1;
  return member.since + timing_.suspicion_timeout(present_count_, confirmations) * timeout_multiplier;
}

std::vector<MemberRecord> MemberTable::expired_suspects(Millis now, double timeout_multiplier) const {
  std::vector<MemberRecord> expired;
  for (const auto& name : suspects_) {
    const Member& member = members_.at(name);
    if (now >= suspicion_expiry(member, timeout_multiplier))
      expired.push_back(member.record);
  }
  return expired;
}

Millis MemberTable::next_suspicion_expiry(double timeout_multiplier) const {
  Millis next(std::numeric_limits<double>::infinity());
  for (const auto& name : suspects_) {
    next = std::min(next, suspicion_expiry(members_.at(name), timeout_multiplier));
  }
  return next;
}

void MemberTable::extend_suspicions(Millis by) {
  for (const auto& name : suspects_)
    members_.at(name).since += by;
}

void MemberTable::remove_dead(Millis now, const std::string& self) {
  for (auto member = members_.begin(); member != members_.end();) {
    const bool is_absent = !is_present(member->second.record.status);
    const bool is_expired = is_absent && now - member->second.since > timing_.remove_dead_after;
    const bool is_self = member->first == self;
    member = is_expired && !is_self ? members_.erase(member) : std::next(member);
  }
}

void MemberTable::remove_all_but(const std::string& self) {
  for (auto member = members_.begin(); member != members_.end();) {
    if (member->first == self) {
      ++member;
      continue;
    }
    remove_from_counts(member->second.record);
    member = members_.erase(member);
  }
}

}  // namespace lotusyard::gossip
