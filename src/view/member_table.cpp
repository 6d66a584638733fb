#include "view/member_table.h"

#include <limits>

namespace lotusyard::view {

const Peer* MemberTable::find(const std::string& name) const {
  const auto found = all_.find(name);
  return found == all_.end() ? nullptr : &found->second.peer;
}

void MemberTable::book(const Known& known, int by) {
  if (here(known.peer.standing)) here_ += static_cast<std::size_t>(by);
  if (known.peer.standing != Standing::suspect) return;
  if (by > 0)
    suspects_.insert(known.peer.name);
  else
    suspects_.erase(known.peer.name);
}

// The one gone for longest gives its place to another; false: nobody is gone.
bool MemberTable::make_room() {
  auto oldest = all_.end();
  for (auto i = all_.begin(); i != all_.end(); ++i) {
    if (here(i->second.peer.standing)) continue;
    if (oldest == all_.end() || i->second.since < oldest->second.since) oldest = i;
  }
  if (oldest == all_.end()) return false;
  all_.erase(oldest);
  return true;
}

MemberTable::Took MemberTable::merge(const Peer& peer, Millis now) {
  auto found = all_.find(peer.name);
  if (found == all_.end()) {
    if (all_.size() >= pace_.members_most && !make_room()) return Took::refused;
    found = all_.emplace(peer.name, Known{peer, now, {}}).first;
  } else {
    Known& known = found->second;
    const bool same = !outdoes(known.peer, peer) && !outdoes(peer, known.peer);
    if (same && peer.standing == Standing::suspect && known.accusers.size() <= pace_.accusers)
      return known.accusers.insert(peer.by).second ? Took::louder : Took::known;
    if (!outdoes(peer, known.peer)) return Took::known;
    book(known, -1);
    known = {peer, now, {}};
  }
  book(found->second, 1);
  if (peer.standing == Standing::suspect) found->second.accusers.insert(peer.by);
  return Took::news;
}

Millis MemberTable::until(const Known& known, double stretch) const {
  const std::size_t further = known.accusers.empty() ? 0 : known.accusers.size() - 1;
  return known.since + pace_.suspicion(here_, further) * stretch;
}

std::vector<Peer> MemberTable::unheard(Millis now, double stretch) const {
  std::vector<Peer> out;
  for (const auto& name : suspects_) {
    const Known& known = all_.at(name);
    if (now >= until(known, stretch)) out.push_back(known.peer);
  }
  return out;
}

Millis MemberTable::next_unheard(double stretch) const {
  Millis out(std::numeric_limits<double>::infinity());
  for (const auto& name : suspects_) out = std::min(out, until(all_.at(name), stretch));
  return out;
}

void MemberTable::later(Millis by) {
  for (const auto& name : suspects_) all_.at(name).since += by;
}

void MemberTable::forget(Millis now, const std::string& self) {
  for (auto i = all_.begin(); i != all_.end();) {
    const bool old = !here(i->second.peer.standing) && now - i->second.since > pace_.horizon;
    i = old && i->first != self ? all_.erase(i) : std::next(i);
  }
}

void MemberTable::forget_all_but(const std::string& self) {
  for (auto i = all_.begin(); i != all_.end();) {
    if (i->first != self) book(i->second, -1);
    i = i->first == self ? std::next(i) : all_.erase(i);
  }
}

}  // namespace lotusyard::view
