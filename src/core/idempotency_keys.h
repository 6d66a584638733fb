// What is known of idempotency keys: which calls have one, when something under it may first have run, and
// where. No I/O; the clock is passed in. All of "a keyed call runs again only under its key, where the hosts
// drop repeats, and while they do" is decided here.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace lotusyard::core {

struct HostLocation {  // of a host, as far as it says who drops a repeat
  std::string zone;
  int cell = 0;
};

struct KeyRule {  // of a class, as the settings give it
  policy::KeyScope scope = policy::KeyScope::all;
  Millis window{0};      // from the send of the first attempt that may have run; 0: nothing drops repeats
  Millis hard_limit{0};  // a client's longest wait over all of its tries
};

inline KeyRule key_rule(const policy::ClassSettings& c) { return {c.scope, c.key_window, c.deadline}; }

class IdempotencyKeys {
 public:
  static constexpr std::size_t max_keys = 8192;         // remembered at once; more are not taken
  static constexpr std::size_t max_key_bytes = 128;     // bytes of a key
  static constexpr std::size_t max_sends_per_key = 16;  // under one key that may have run; no more go out
  static bool is_valid(const std::string& key);         // can stand in a host's line, unchanged

  enum class KeyDecision { accepted, other_request, window_over, full };
  // A call comes. It is joined to no other: each has an attempt of its own, and hosts drop what repeats.
  // `other_request`: the key stands for another function or body; a host would drop this call for that one.
  // `window_over`: something under the key may have run too long ago for a host to know.
  KeyDecision begin(const Call& call, const KeyRule& rule, Millis now);
  // Whether an attempt may go out to a host there.
  bool may_send_to(const Call& call, const KeyRule& rule, const HostLocation& to, Millis now) const;
  void record_send(const Call& call, const Attempt& attempt, const HostLocation& to, Millis now);
  void record_not_run(const Call& call, const Attempt& attempt);  // shown by how it ended
  void end(const Call& call, const KeyRule& rule, Millis now);
  std::size_t size() const { return records_.size(); }

 private:
  struct Sent {
    Attempt attempt;
    HostLocation at;
    Millis when{0};
  };
  struct Record {
    std::uint64_t function = 0, body = 0;  // body: a digest
    int open = 0;                          // calls
    std::vector<Sent> sent;                // that may have run
    std::optional<Millis> before;          // something may have run elsewhere, no sooner than this
    Millis kept_until{0};
  };
  std::unordered_map<std::string, Record> records_;  // by class and key
  std::deque<std::pair<Millis, std::string>> ends_;  // when each may be forgotten, in about that order

  static std::string name_of(const Call& call) { return call.class_name + '\n' + call.key; }
  static std::optional<Millis> first_send(const Record& record);
  void expire(Millis now);
};

}  // namespace lotusyard::core
