// The refs of the attempts that have ended on one connection.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// A late or duplicate answer would be taken for the answer to another attempt with the same ref, so a ref is
// not reused on its connection for a while.
class EndedRefs {
 public:
  enum class State { cancelled, answered };

  // Stores the ref for at least `retention`, unless the number of refs exceeds a limit before.
  void add(const std::string& ref, State state, Millis now, Millis retention);
  bool contains(const std::string& ref) const { return states_.count(ref) != 0; }
  // Records an answer that arrived after its attempt was cancelled. Returns false if none is expected: the
  // ref is unknown, or was answered already.
  bool accept_late_answer(const std::string& ref);

 private:
  void expire(Millis now, Millis retention);

  std::unordered_map<std::string, State> states_;
  std::deque<std::pair<Millis, std::string>> ended_at_;  // oldest first
};

}  // namespace lotusyard::hosts
