#include "gossip/membership_state.h"

#include <algorithm>
#include <optional>

#include "core/fault_injection.h"

namespace lotusyard::gossip {
namespace {

// Neither hosts nor members have a line feed in their names.
constexpr char kKeySeparator = '\n';

std::string observation_key(const HostObservation& observation) {
  return observation.host + kKeySeparator + observation.observer;
}

}  // namespace

MembershipState::MembershipState(MemberRecord self, const GossipTiming& timing, LocalHealth& health,
                                 ProbeOrder& probe_order, Millis now)
    : timing_(timing), health_(health), probe_order_(probe_order), self_(std::move(self)), members_(timing) {
  members_.merge(self_, now);
  member_updates_.enqueue(self_.name);
}

// Reservoir sampling: each member has the same chance.
std::vector<const MemberRecord*> MembershipState::sample_present(std::size_t limit,
                                                                 const std::string& excluded,
                                                                 std::mt19937_64& random) const {
  std::vector<const MemberRecord*> sample;
  std::size_t seen = 0;
  for (const auto& [name, member] : members_.all()) {
    const bool is_candidate = name != self_.name && name != excluded;
    if (!is_candidate || !is_present(member.record.status))
      continue;
    ++seen;
    if (sample.size() < limit) {
      sample.push_back(&member.record);
      continue;
    }
    const std::size_t position = random() % seen;
    if (position < limit)
      sample[position] = &member.record;
  }
  return sample;
}

void MembershipState::set_serving(Millis now) {
  if (self_.status != MemberStatus::joining)
    return;
  self_.status = MemberStatus::alive;
  merge(self_, now);
}

void MembershipState::set_left(Millis now) {
  self_.status = MemberStatus::left;
  ++self_.refutation;
  merge(self_, now);
}

void MembershipState::observe(const std::string& host, double host_incarnation, bool usable) {
  const HostObservation* previous = metadata_.find(host, self_.name);
  const bool is_same_host = previous != nullptr && previous->host_incarnation == host_incarnation;
  if (is_same_host && previous->usable == usable)
    return;
  ++observation_sequence_;
  merge(
      HostObservation{host, host_incarnation, self_.name, self_.incarnation, observation_sequence_, usable});
}

void MembershipState::merge(const MemberRecord& record, Millis now) {
  if (record.name == self_.name) {
    merge_self(record, now);
  } else {
    merge_into_table(record, now);
  }
}

void MembershipState::merge_self(const MemberRecord& record, Millis now) {
  const bool is_this_process = record.incarnation == self_.incarnation && record.address == self_.address;
  if (!supersedes(record, self_)) {
    if (is_this_process)
      merge_into_table(record, now);
    return;
  }
  if (is_this_process) {
    refute(record.refutation, now);
    return;
  }
  // Two processes of one name that both refuted would supersede each other for ever, so the one of the
  // earlier incarnation gives way.
  superseded_ = true;
  members_.merge(record, now);
  changes_.push_back(record);
}

// Only the member itself raises its refutation count, so the new record supersedes what others report of it.
void MembershipState::refute(std::uint64_t claimed_refutation, Millis now) {
  if (fault_injected("refute"))
    return;
  self_.refutation = std::max(self_.refutation, claimed_refutation) + 1;
  ++counts_.refuted;
  health_.degrade(1);
  merge(self_, now);
}

void MembershipState::merge_into_table(const MemberRecord& record, Millis now) {
  const MemberRecord* known = members_.find(record.name);
  const std::optional<MemberRecord> previous = known == nullptr ? std::nullopt : std::optional(*known);
  switch (members_.merge(record, now)) {
    case MemberTable::MergeResult::rejected:
      ++counts_.refused;
      break;
    case MemberTable::MergeResult::unchanged:
      break;
    case MemberTable::MergeResult::confirmed:
      member_updates_.enqueue(record.name);
      break;
    case MemberTable::MergeResult::updated:
      record_update(previous ? &*previous : nullptr, record);
      break;
  }
}

// `previous` is null if the member was unknown.
void MembershipState::record_update(const MemberRecord* previous, const MemberRecord& record) {
  member_updates_.enqueue(record.name);
  const bool is_new = previous == nullptr;
  const bool is_changed =
      is_new || record.status != previous->status || record.incarnation != previous->incarnation;
  if (is_changed)
    changes_.push_back(record);
  if (record.name == self_.name || record.status != MemberStatus::alive)
    return;
  const bool was_dead = is_new || previous->status == MemberStatus::dead;
  if (was_dead)
    probe_order_.insert(record.name);
}

// After a partition each side records the other as dead and reports so in full syncs, although its members
// run. A member that was present in this table until now is therefore only suspected, so that it has time to
// refute.
void MembershipState::merge_from_full_sync(MemberRecord record, Millis now) {
  const MemberRecord* known = members_.find(record.name);
  const bool is_other = known != nullptr && record.name != self_.name;
  const bool is_same_process =
      is_other && is_present(known->status) && known->incarnation == record.incarnation;
  const bool is_declared_dead = record.status == MemberStatus::dead;
  if (is_same_process && is_declared_dead && supersedes(record, *known))
    record.status = MemberStatus::suspect;
  merge(record, now);
}

void MembershipState::merge(const HostObservation& observation) {
  const bool updated = metadata_.merge(observation) == MemberMetadata::MergeResult::updated;
  if (updated)
    observation_updates_.enqueue(observation_key(observation));
}

void MembershipState::merge_all(const Message& message, Millis now) {
  merge(message.self, now);
  for (const auto& record : message.members) {
    if (is_full_sync(message.kind)) {
      merge_from_full_sync(record, now);
    } else {
      merge(record, now);
    }
  }
  for (const auto& observation : message.observations)
    merge(observation);
}

MemberRecord MembershipState::suspect(const MemberRecord& member, Millis now) {
  MemberRecord record = member;
  record.status = MemberStatus::suspect;
  record.suspected_by = self_.name;
  ++counts_.suspected;
  merge(record, now);
  return record;
}

void MembershipState::declare_expired_suspects_dead(Millis now) {
  for (MemberRecord& record : members_.expired_suspects(now, health_.timeout_multiplier())) {
    record.status = MemberStatus::dead;
    record.suspected_by = self_.name;
    ++counts_.died;
    merge(record, now);
  }
}

void MembershipState::record_pause(Millis duration) {
  ++counts_.stalls;
  members_.extend_suspicions(duration);
  health_.record_pause();
}

void MembershipState::attach_updates(Message& message) {
  const std::size_t cluster_size = members_.present_count();
  for (const auto& name : member_updates_.take(timing_.max_piggybacked, cluster_size)) {
    if (const MemberRecord* record = members_.find(name))
      message.members.push_back(*record);
  }
  for (const auto& key : observation_updates_.take(timing_.max_piggybacked, cluster_size)) {
    const auto separator = key.find(kKeySeparator);
    const std::string host = key.substr(0, separator);
    const std::string observer = key.substr(separator + 1);
    if (const auto* observation = metadata_.find(host, observer))
      message.observations.push_back(*observation);
  }
}

void MembershipState::attach_full_state(Message& message) {
  for (const auto& [name, member] : members_.all())
    message.members.push_back(member.record);
  message.observations = metadata_.all();
  member_updates_.record_full_sync(members_.present_count());
  observation_updates_.record_full_sync(members_.present_count());
}

bool MembershipState::has_dissemination_backlog() const {
  return member_updates_.size() > 2 * timing_.max_piggybacked;
}

}  // namespace lotusyard::gossip
