// Bounds the table of functions: clients may call any name, and each is recorded.
#include <algorithm>
#include <tuple>
#include <unordered_set>

#include "policy/function_table.h"

namespace lotusyard::policy {
namespace {

// The node of the index and the allocator's headers.
constexpr std::size_t kOverheadBytes = 96;

std::size_t bytes_of(const Function& function) {
  const std::size_t instances = function.instances.capacity() * sizeof(InstanceSet);
  const std::size_t hosts = function.hosts.capacity() * sizeof(int);
  return sizeof(Function) + kOverheadBytes + function.tenant.capacity() + instances + hosts;
}

std::size_t excess_over(std::size_t value, std::size_t limit) {
  if (value <= limit)
    return 0;
  return value - limit + static_cast<std::size_t>(static_cast<double>(limit) * kEvictedFraction);
}

}  // namespace

void FunctionTable::prune() {
  drop_stale();
  const Excess excess = measure_excess();
  if (excess.unconfirmed > 0 || excess.bytes > 0)
    evict(excess);
}

void FunctionTable::drop_stale() {
  const auto is_stale = [this](const std::unique_ptr<Function>& function) {
    const Millis lifetime = function->run_time.known() ? kRecordLifetime : kNewRecordLifetime;
    const bool is_empty = !function->is_in_use() && function->instances.empty();
    const bool unused = is_empty && context_.now() - function->last_call_at > lifetime;
    return unused && index_.erase(function->id) > 0;
  };
  functions_.erase(std::remove_if(functions_.begin(), functions_.end(), is_stale), functions_.end());
}

FunctionTable::Excess FunctionTable::measure_excess() {
  bytes_ = 0;
  std::size_t unconfirmed = 0;
  for (const auto& function : functions_) {
    bytes_ += bytes_of(*function);
    unconfirmed += function->is_in_use() || function->is_confirmed() ? 0 : 1;
  }
  Excess excess;
  excess.unconfirmed = excess_over(unconfirmed, kMaxUnconfirmedFunctions);
  const std::size_t limit = context_.settings().function_table_bytes;
  if (limit > 0)
    excess.bytes = excess_over(bytes_, limit);
  return excess;
}

// In the order in which they are to be evicted. The order of the table decides between equals.
std::vector<Function*> FunctionTable::eviction_candidates() const {
  std::vector<Function*> candidates;
  for (const auto& function : functions_) {
    if (!function->is_in_use())
      candidates.push_back(function.get());
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const Function* left, const Function* right) {
    const bool left_confirmed = left->is_confirmed();
    const bool right_confirmed = right->is_confirmed();
    return std::tie(left_confirmed, left->last_call_at) < std::tie(right_confirmed, right->last_call_at);
  });
  return candidates;
}

void FunctionTable::evict(Excess excess) {
  std::vector<Function*> evicted;
  for (Function* const function : eviction_candidates()) {
    const bool is_surplus = excess.unconfirmed > 0 && !function->is_confirmed();
    if (!is_surplus && excess.bytes == 0)
      break;
    const std::size_t bytes = bytes_of(*function);
    excess.unconfirmed -= std::min<std::size_t>(excess.unconfirmed, 1);
    excess.bytes -= std::min(excess.bytes, bytes);
    bytes_ -= bytes;
    evicted.push_back(function);
  }
  evicted_ += evicted.size();
  erase(evicted);
}

void FunctionTable::erase(const std::vector<Function*>& evicted) {
  const std::unordered_set<const Function*> selected(evicted.begin(), evicted.end());
  for (const Function* const function : evicted)
    index_.erase(function->id);
  const auto is_selected = [&](const std::unique_ptr<Function>& function) {
    return selected.count(function.get()) != 0;
  };
  functions_.erase(std::remove_if(functions_.begin(), functions_.end(), is_selected), functions_.end());
}

}  // namespace lotusyard::policy
