// The refs of the attempts that have ended on one connection.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// The memory of the refs of all connections of a process. Connections may outlive their pool.
struct EndedRefMemory {
  std::size_t refs = 0;
  std::size_t max_bytes = 4U << 20;
};

// A late or duplicate answer would be taken for the answer to another attempt with the same ref, so a ref is
// not reused on its connection for a while.
class EndedRefs {
 public:
  enum class State { cancelled, answered };

  explicit EndedRefs(std::shared_ptr<EndedRefMemory> memory) : memory_(std::move(memory)) {}
  ~EndedRefs() { memory_->refs -= states_.size(); }
  EndedRefs(const EndedRefs&) = delete;
  EndedRefs& operator=(const EndedRefs&) = delete;

  // Stores the ref for at least `retention`, unless the refs exceed a limit before.
  void add(const std::string& ref, State state, Millis now, Millis retention);
  bool contains(const std::string& ref) const { return states_.count(ref) != 0; }
  // Records an answer that arrived after its attempt was cancelled. Returns false if none is expected: the
  // ref is unknown, or was answered already.
  bool accept_late_answer(const std::string& ref);

 private:
  using States = std::unordered_map<std::string, State>;
  struct EndedRef {
    Millis ended_at{0};
    States::const_pointer state = nullptr;  // elements of the map do not move
  };

  void expire(Millis now, Millis retention);
  bool exceeds_limits() const;

  std::shared_ptr<EndedRefMemory> memory_;
  States states_;
  std::deque<EndedRef> ended_;  // oldest first
};

}  // namespace lotusyard::hosts
