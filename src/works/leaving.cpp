#include "works/leaving.h"

#include <cmath>

namespace lotusyard::works {
namespace {

bool usable(const core::Member& m) { return m.entry.state == robinfold::WorkerState::ready; }

const core::Member* find(const Leaving::Listed& listed, const std::string& host) {
  const auto found = listed.find(host);
  return found == listed.end() ? nullptr : &found->second;
}

}  // namespace

Leaving::Change Leaving::follow(const Board& board, bool leased, const Listed& listed) {
  Change out;
  std::map<std::string, Left> left;
  for (const auto& host : board.avoided(leased)) {
    out.out.insert(host);
    const auto before = left_.find(host);
    if (before != left_.end()) {
      left[host] = before->second;
      continue;
    }
    const auto* now = find(listed, host);
    left[host].started = now != nullptr ? now->entry.started : Millis(0);
    out.lines.push_back("host=" + host + " is left alone");
  }
  for (const auto& [host, was] : left_) {
    if (left.count(host) != 0) continue;
    if (touched_.erase(host) != 0) out.anew.insert(host);
    out.lines.push_back("host=" + host + " is used again" + (out.anew.count(host) != 0 ? ", cold" : ""));
  }
  left_ = std::move(left);
  for (const auto& [host, h] : board.hosts()) {
    if (h.touched && left_.count(host) != 0) touched_.insert(host);
  }
  return out;
}

View Leaving::see(const Board& board, const Watch& watch, const Listed& listed,
                  const std::set<std::string>& by_hand, Millis now) {
  View out;
  for (const auto& [id, member] : listed) {
    ++out.listed;
    if (board.hosts().count(id) != 0) out.cost[id] = std::round(watch.cost(id, now) * 100) / 100;
    const bool bad = !usable(member) || by_hand.count(id) != 0 || watch.down(id, now);
    if (!left(id) && bad) out.down.insert(id);
  }
  for (const auto& [id, h] : board.hosts()) {
    const auto mine = left_.find(id);
    const auto* there = find(listed, id);
    if (h.stage == Stage::out && mine != left_.end()) {
      const bool again =
          there != nullptr && (mine->second.vanished || there->entry.started != mine->second.started);
      if (again && usable(*there)) out.reborn.insert(id);
      if (there == nullptr) mine->second.vanished = true;
    }
    if (h.stage == Stage::warming && watch.last_served(id) > h.since) out.served.insert(id);
  }
  return out;
}

}  // namespace lotusyard::works
