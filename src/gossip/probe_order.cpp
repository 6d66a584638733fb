#include "gossip/probe_order.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace lotusyard::gossip {

std::string ProbeOrder::next(const MemberTable& members, const std::string& self) {
  std::string name = take_present(members);
  if (!name.empty())
    return name;
  start_round(members, self);
  return take_present(members);
}

void ProbeOrder::insert(const std::string& name) {
  const std::size_t position = random_() % (remaining_.size() + 1);
  remaining_.insert(remaining_.begin() + static_cast<std::ptrdiff_t>(position), name);
}

std::string ProbeOrder::take_present(const MemberTable& members) {
  while (!remaining_.empty()) {
    std::string name = std::move(remaining_.front());
    remaining_.pop_front();
    const MemberRecord* record = members.find(name);
    if (record != nullptr && is_present(record->status))
      return name;
  }
  return {};
}

void ProbeOrder::start_round(const MemberTable& members, const std::string& self) {
  for (const auto& [name, member] : members.all()) {
    if (name != self && is_present(member.record.status))
      remaining_.push_back(name);
  }
  std::shuffle(remaining_.begin(), remaining_.end(), random_);
}

}  // namespace lotusyard::gossip
