#include "core/call_table.h"

#include <algorithm>
#include <utility>

namespace lotusyard::core {

OpenCall& CallTable::add(OpenCall&& call) {
  const CallId id = call.id();
  return calls_.emplace(id, std::move(call)).first->second;
}

OpenCall* CallTable::find(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

const OpenCall* CallTable::find(CallId id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

std::optional<OpenCall> CallTable::remove(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return std::nullopt;
  std::optional<OpenCall> removed = std::move(found->second);
  calls_.erase(found);
  return removed;
}

std::vector<CallId> CallTable::ids_where(const std::function<bool(const OpenCall&)>& selects) const {
  std::vector<CallId> selected;
  for (const auto& [id, call] : calls_) {
    if (selects(call))
      selected.push_back(id);
  }
  std::sort(selected.begin(), selected.end());
  return selected;
}

}  // namespace lotusyard::core
