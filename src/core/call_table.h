// The calls that have been admitted and have no final answer yet.
#pragma once

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/open_call.h"

namespace lotusyard::core {

// Ensures that each call is ended once: remove() returns it to the first caller only.
class CallTable {
 public:
  // The result is valid until the call is removed.
  OpenCall& add(OpenCall&& call);
  // Null if the call has ended.
  OpenCall* find(CallId id);
  const OpenCall* find(CallId id) const;
  // Removes and returns the call; nothing if it has ended. A removed call cannot be answered a second time.
  std::optional<OpenCall> remove(CallId id);
  // The ids of the calls for which `selects` returns true, in ascending order.
  std::vector<CallId> ids_where(const std::function<bool(const OpenCall&)>& selects) const;
  std::size_t size() const { return calls_.size(); }

 private:
  std::unordered_map<CallId, OpenCall> calls_;
};

}  // namespace lotusyard::core
