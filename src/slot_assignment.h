// Assigns values to stable slots of a vector, so that their indices stay valid while they are in use.
#pragma once

#include <algorithm>
#include <vector>

namespace lotusyard::policy {

// Returns the index in `slots` of each of `wanted`: that of the equal value if there is one, else that of a
// slot that is neither `in_use` nor holds a wanted value, else that of a new slot. A slot in use keeps its
// value, so that its index stays valid for whoever holds it.
template <typename T>
std::vector<int> assign_slots(std::vector<T>& slots, const std::vector<T>& wanted, std::vector<bool> in_use) {
  in_use.resize(slots.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    if (std::count(wanted.begin(), wanted.end(), slots[i]) > 0)
      in_use[i] = true;
  }
  std::vector<int> indices;
  for (const auto& value : wanted) {
    auto index = std::find(slots.begin(), slots.end(), value) - slots.begin();
    if (index == static_cast<std::ptrdiff_t>(slots.size())) {
      index = std::find(in_use.begin(), in_use.end(), false) - in_use.begin();
      slots.resize(std::max(slots.size(), static_cast<std::size_t>(index) + 1));
      in_use.resize(slots.size());
      slots[static_cast<std::size_t>(index)] = value;
      in_use[static_cast<std::size_t>(index)] = true;
    }
    indices.push_back(static_cast<int>(index));
  }
  return indices;
}

}  // namespace lotusyard::policy
