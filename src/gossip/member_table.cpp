#include "gossip/member_table.h"

#include <limits>

namespace lotusyard::gossip {

const MemberRecord* MemberTable::find(const std::string& name) const {
  const auto found = all_.find(name);
  return found == all_.end() ? nullptr : &found->second.record;
}

void MemberTable::book(const Member& known, int by) {
  if (is_present(known.record.status)) here_ += static_cast<std::size_t>(by);
  if (known.record.status != MemberStatus::suspect) return;
  if (by > 0)
    suspects_.insert(known.record.name);
  else
    suspects_.erase(known.record.name);
}

// The one gone for longest gives its place to another; false: nobody is gone.
bool MemberTable::make_room() {
  auto oldest = all_.end();
  for (auto i = all_.begin(); i != all_.end(); ++i) {
    if (is_present(i->second.record.status)) continue;
    if (oldest == all_.end() || i->second.since < oldest->second.since) oldest = i;
  }
  if (oldest == all_.end()) return false;
  all_.erase(oldest);
  return true;
}

MemberTable::MergeResult MemberTable::merge(const MemberRecord& peer, Millis now) {
  auto found = all_.find(peer.name);
  if (found == all_.end()) {
    if (all_.size() >= pace_.max_members && !make_room()) return MergeResult::rejected;
    found = all_.emplace(peer.name, Member{peer, now, {}}).first;
  } else {
    Member& known = found->second;
    const bool same = !supersedes(known.record, peer) && !supersedes(peer, known.record);
    if (same && peer.status == MemberStatus::suspect && known.accusers.size() <= pace_.accusers)
      return known.accusers.insert(peer.suspected_by).second ? MergeResult::more_accusers
                                                             : MergeResult::unchanged;
    if (!supersedes(peer, known.record)) return MergeResult::unchanged;
    book(known, -1);
    known = {peer, now, {}};
  }
  book(found->second, 1);
  if (peer.status == MemberStatus::suspect) found->second.accusers.insert(peer.suspected_by);
  return MergeResult::updated;
}

Millis MemberTable::until(const Member& known, double stretch) const {
  const std::size_t further = known.accusers.empty() ? 0 : known.accusers.size() - 1;
  return known.since + pace_.suspicion_timeout(here_, further) * stretch;
}

std::vector<MemberRecord> MemberTable::expired_suspects(Millis now, double stretch) const {
  std::vector<MemberRecord> out;
  for (const auto& name : suspects_) {
    const Member& known = all_.at(name);
    if (now >= until(known, stretch)) out.push_back(known.record);
  }
  return out;
}

Millis MemberTable::next_suspicion_expiry(double stretch) const {
  Millis out(std::numeric_limits<double>::infinity());
  for (const auto& name : suspects_) out = std::min(out, until(all_.at(name), stretch));
  return out;
}

void MemberTable::later(Millis by) {
  for (const auto& name : suspects_) all_.at(name).since += by;
}

void MemberTable::forget(Millis now, const std::string& self) {
  for (auto i = all_.begin(); i != all_.end();) {
    const bool old = !is_present(i->second.record.status) && now - i->second.since > pace_.forget_dead_after;
    i = old && i->first != self ? all_.erase(i) : std::next(i);
  }
}

void MemberTable::forget_all_but(const std::string& self) {
  for (auto i = all_.begin(); i != all_.end();) {
    if (i->first != self) book(i->second, -1);
    i = i->first == self ? std::next(i) : all_.erase(i);
  }
}

}  // namespace lotusyard::gossip
