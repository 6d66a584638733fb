#include "hosts/ended_refs.h"

namespace lotusyard::hosts {
namespace {

// Bounds the memory of a connection that carries thousands of calls a second.
constexpr std::size_t kMaxRefs = 2048;
// A connection keeps these even if others use up the memory: as many as it may have in flight.
constexpr std::size_t kMinRefs = 32;
// Of the usual ref of 16 characters, with the nodes of both containers and the allocator's headers.
constexpr std::size_t kRefBytes = 160;

}  // namespace

void EndedRefs::add(const std::string& ref, State state, Millis now, Millis retention) {
  expire(now, retention);
  const auto [entry, is_new] = states_.emplace(ref, state);
  if (!is_new)
    return;
  ended_.push_back({now, &*entry});
  ++memory_->refs;
}

bool EndedRefs::accept_late_answer(const std::string& ref) {
  const auto found = states_.find(ref);
  if (found == states_.end() || found->second == State::answered)
    return false;
  found->second = State::answered;
  return true;
}

void EndedRefs::expire(Millis now, Millis retention) {
  while (!ended_.empty()) {
    const EndedRef& oldest = ended_.front();
    if (now - oldest.ended_at <= retention && !exceeds_limits())
      return;
    states_.erase(states_.find(oldest.state->first));
    ended_.pop_front();
    --memory_->refs;
  }
}

bool EndedRefs::exceeds_limits() const {
  const bool memory_is_full = memory_->refs * kRefBytes >= memory_->max_bytes;
  return ended_.size() > kMaxRefs || (memory_is_full && ended_.size() > kMinRefs);
}

}  // namespace lotusyard::hosts
