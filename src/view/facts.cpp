#include "view/facts.h"

#include <algorithm>

#include "core/breaks.h"

namespace lotusyard::view {

Facts::Took Facts::merge(const Fact& fact) {
  if (hosts_.size() >= hosts_most && hosts_.count(fact.host) == 0) return Took::refused;
  Host& host = hosts_[fact.host];
  if (fact.host_life < host.life && !breaks("earlier-life")) return Took::known;
  if (fact.host_life > host.life) {
    host.life = fact.host_life;
    host.by.clear();
  }
  const auto [mine, fresh] = host.by.try_emplace(fact.observer, fact);
  if (fresh) return Took::news;
  if (!breaks("merge-order") && !(mine->second.order() < fact.order())) return Took::known;
  mine->second = fact;
  return Took::news;
}

void Facts::keep(const std::set<std::string>& listed, const std::set<std::string>& observers) {
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    auto& by = i->second.by;
    for (auto j = by.begin(); j != by.end();) j = observers.count(j->first) == 0 ? by.erase(j) : std::next(j);
    i = listed.count(i->first) == 0 ? hosts_.erase(i) : std::next(i);
  }
}

std::vector<Fact> Facts::all() const {
  std::vector<Fact> out;
  for (const auto& [id, host] : hosts_) {
    for (const auto& [observer, fact] : host.by) out.push_back(fact);
  }
  return out;
}

const Fact* Facts::find(const std::string& host, const std::string& observer) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return nullptr;
  const auto mine = found->second.by.find(observer);
  return mine == found->second.by.end() ? nullptr : &mine->second;
}

std::size_t Facts::against(const std::string& host) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return 0;
  const auto& by = found->second.by;
  return static_cast<std::size_t>(
      std::count_if(by.begin(), by.end(), [](const auto& entry) { return !entry.second.usable; }));
}

}  // namespace lotusyard::view
