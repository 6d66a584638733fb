// Bookkeeping that src/policy/ uses; it decides nothing and holds no tuned value.
#pragma once

#include <algorithm>
#include <vector>

namespace lotusyard::policy {

// Gives each of `wanted` a place in `known`: the one where it stands unchanged, else one that is neither
// wanted nor `used`, else a new one. What stands in a used place stays, so that whoever holds its number can
// go on.
template <typename T>
std::vector<int> settle(std::vector<T>& known, const std::vector<T>& wanted, std::vector<bool> used) {
  used.resize(known.size());
  for (std::size_t i = 0; i < known.size(); ++i) {
    if (std::count(wanted.begin(), wanted.end(), known[i]) > 0)
      used[i] = true;
  }
  std::vector<int> places;
  for (const auto& one : wanted) {
    auto place = std::find(known.begin(), known.end(), one) - known.begin();
    if (place == static_cast<std::ptrdiff_t>(known.size())) {
      place = std::find(used.begin(), used.end(), false) - used.begin();
      known.resize(std::max(known.size(), static_cast<std::size_t>(place) + 1));
      used.resize(known.size());
      known[static_cast<std::size_t>(place)] = one;
      used[static_cast<std::size_t>(place)] = true;
    }
    places.push_back(static_cast<int>(place));
  }
  return places;
}

}  // namespace lotusyard::policy
