#include "hosts/ended_refs.h"

namespace lotusyard::hosts {
namespace {

// Bounds the memory of a connection that carries thousands of calls a second.
constexpr std::size_t kMaxRefs = 2048;

}  // namespace

void EndedRefs::add(const std::string& ref, State state, Millis now, Millis retention) {
  expire(now, retention);
  if (states_.emplace(ref, state).second)
    ended_at_.emplace_back(now, ref);
}

bool EndedRefs::accept_late_answer(const std::string& ref) {
  const auto found = states_.find(ref);
  if (found == states_.end() || found->second == State::answered)
    return false;
  found->second = State::answered;
  return true;
}

void EndedRefs::expire(Millis now, Millis retention) {
  while (!ended_at_.empty()) {
    const auto& [ended_at, ref] = ended_at_.front();
    if (now - ended_at <= retention && ended_at_.size() <= kMaxRefs)
      return;
    states_.erase(ref);
    ended_at_.pop_front();
  }
}

}  // namespace lotusyard::hosts
