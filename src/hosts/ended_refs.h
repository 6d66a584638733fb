// Refs of the attempts that have ended on one connection.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// A late or second answer would end another attempt of the same ref, so a ref is not used again on its
// connection for a while.
class EndedRefs {
 public:
  enum class State { cancelled, answered };

  // Remembers the ref for at least `retention`, unless very many refs end meanwhile.
  void add(const std::string& ref, State state, Millis now, Millis retention);
  bool contains(const std::string& ref) const { return states_.count(ref) != 0; }
  // Takes note of an answer that came after the attempt was cancelled. Returns false if none is expected:
  // the ref is unknown, or its answer has come.
  bool accept_late_answer(const std::string& ref);

 private:
  void expire(Millis now, Millis retention);

  std::unordered_map<std::string, State> states_;
  std::deque<std::pair<Millis, std::string>> ended_at_;  // oldest first
};

}  // namespace lotusyard::hosts
