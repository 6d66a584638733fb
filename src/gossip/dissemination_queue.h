// What is carried along with other messages, and how often yet. No I/O.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace lotusyard::gossip {

class DisseminationQueue {
 public:
  void enqueue(const std::string& key) { transmissions_[key] = 0; }
  void remove(const std::string& key) { transmissions_.erase(key); }
  std::size_t size() const { return transmissions_.size(); }

  // Those told least, at most so many; each goes out some multiple of log n times, then everybody has it but
  // by bad luck, which full exchanges make good.
  std::vector<std::string> take(std::size_t most, std::size_t members) {
    const int often = max_transmissions(members);
    std::vector<std::pair<int, std::string>> order;
    for (const auto& [key, times] : transmissions_) order.emplace_back(times, key);
    const std::size_t count = std::min(most, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
      out.push_back(order[i].second);
      if (++transmissions_[order[i].second] >= often) transmissions_.erase(order[i].second);
    }
    return out;
  }

  // One has been told all of it. Danger: counted as nothing, a large fleet would be told all of it for
  // minutes.
  void record_full_sync(std::size_t members) {
    const int often = max_transmissions(members);
    for (auto i = transmissions_.begin(); i != transmissions_.end();)
      i = (i->second += kWhole) >= often ? transmissions_.erase(i) : std::next(i);
  }

 private:
  static constexpr double kOften = 5;
  static constexpr int kWhole = 3;  // who is told everything at once passes it on at once as well
  static int max_transmissions(std::size_t members) {
    return static_cast<int>(std::ceil(kOften * std::log10(static_cast<double>(members) + 2)));
  }
  std::map<std::string, int> transmissions_;
};

}  // namespace lotusyard::gossip
