// Tracks the refs that new calls must not have. Hosts identify a call by its ref, so two calls with the same
// ref could get each other's answers.
#pragma once

#include <deque>
#include <string>
#include <unordered_set>

#include "core/policy_types.h"

namespace lotusyard::core {

// Holds the refs of open calls, and for a while those of calls that have ended: a host may still answer them.
class RefRetention {
 public:
  explicit RefRetention(const Settings& settings) { apply_settings(settings); }
  void apply_settings(const Settings& settings);

  // A call with the ref has been admitted.
  void add(const std::string& ref) { refs_.insert(ref); }
  // The call with the ref has ended; the ref is retained from now on.
  void retain(const std::string& ref, Millis now);
  // Drops the refs whose retention has ended. Must be called before contains() too, because retain(), which
  // also drops them, may be called rarely.
  void expire(Millis now);
  bool contains(const std::string& ref) const { return refs_.count(ref) != 0; }

 private:
  struct EndedRef {
    Millis ended_at{0};
    std::string ref;
  };

  bool is_oldest_expired(Millis now) const;

  Millis retention_{0};
  std::unordered_set<std::string> refs_;  // of open calls and of `ended_`
  std::deque<EndedRef> ended_;            // oldest first
};

}  // namespace lotusyard::core
