// Tracks idempotency keys: a call with a key may run again only with the same key, at hosts that recognise
// it, and only while they do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/attempt.h"
#include "core/call.h"
#include "core/host_locations.h"

namespace lotusyard::core {

// The settings of a class for its keys.
struct KeyRule {
  policy::KeyScope scope = policy::KeyScope::all;
  // How long hosts recognise a key, from the first attempt that may have run; 0: hosts recognise no keys.
  Millis window{0};
  // The longest that a client waits over all of its retries.
  Millis hard_limit{0};
};

inline KeyRule key_rule(const policy::ClassSettings& call_class) {
  return {call_class.scope, call_class.key_window, call_class.deadline};
}

// Records for each key when and where attempts that may have run were sent. Equal keys of different classes
// are separate. A record that hosts may still need is never dropped; past a limit on the memory, calls are
// not accepted. No I/O; the clock is passed in.
class IdempotencyKeys {
 public:
  static constexpr std::size_t kMaxKeys = 8192;  // bounds the memory
  static constexpr std::size_t kMaxKeyBytes = 128;
  // The limit on attempts that may have run, over all calls with the key; bounds the memory.
  static constexpr std::size_t kMaxSendsPerKey = 16;

  // Whether the key can be passed on to hosts unchanged.
  static bool is_valid(const std::string& key);

  // other_request: the key belongs to another function or body; hosts would take this call for its repeat.
  // window_over: an attempt with the key may have run so long ago that hosts do not recognise it any more.
  // full: no more can be tracked.
  enum class KeyDecision { accepted, other_request, window_over, full };
  // Begins a call with a key. Several calls with the same key may be open; each has attempts of its own, and
  // hosts recognise the repeats. If the call is accepted, end() must follow.
  KeyDecision begin(const Call& call, const KeyRule& rule, Millis now);
  // Whether an attempt of a call that was begun may be sent to a host at the location.
  bool may_send_to(const Call& call, const KeyRule& rule, const HostLocation& location, Millis now) const;
  // An attempt is sent; it counts as one that may have run unless record_not_run() is called for it.
  void record_send(const Call& call, const Attempt& attempt, const HostLocation& location, Millis now);
  void record_not_run(const Call& call, const Attempt& attempt);
  // Ends a call that was begun.
  void end(const Call& call, const KeyRule& rule, Millis now);
  // The number of keys that are tracked.
  std::size_t size() const { return records_.size(); }
  // The memory of the records, estimated.
  std::size_t bytes() const { return bytes_; }
  // 0: not limited. Calls that were begun may exceed it by what their further attempts need.
  void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }

 private:
  struct Record;
  using Entry = std::pair<const std::string, Record>;  // of Records; entries do not move
  using ExpirationQueue =
      std::multimap<Millis, Entry*>;  // by the time at which hosts recognise the key no more
  struct SentAttempt {
    Attempt attempt;
    HostLocation location;
    Millis sent_at{0};
  };
  struct Record {
    std::uint64_t function = 0;
    std::uint64_t body_hash = 0;
    int open_calls = 0;
    std::vector<SentAttempt> sent;             // those that may have run
    std::optional<Millis> may_have_run_since;  // the earliest time at which another invoker may have run one
    std::optional<ExpirationQueue::iterator> expiration;  // if no call is open
  };
  using Records = std::unordered_map<std::string, Record>;  // by record_name()

  static std::string record_name(const Call& call) { return call.class_name + '\n' + call.key; }
  static std::optional<Millis> first_send(const Record& record);
  static Millis last_send(const Record& record);
  static std::optional<Millis> may_have_run_since(const Call& call, const KeyRule& rule, Millis now);
  static std::size_t bytes_of(const Entry& entry);
  KeyDecision begin_new_key(const Call& call, const KeyRule& rule, Millis now);
  KeyDecision begin_known_key(Entry& entry, const Call& call, const KeyRule& rule, Millis now);
  // Counts a call of the key as open, with memory for an attempt.
  void open_call(Entry& entry);
  // Whether the records take up more than this fraction of their memory.
  bool is_filled(double fraction) const;
  Entry* find(const Call& call);
  const Entry* find(const Call& call) const;
  void erase(const Entry& entry);
  void expire(Millis now);

  Records records_;
  ExpirationQueue expirations_;
  std::size_t bytes_ = 0;
  std::size_t max_bytes_ = 0;
};

}  // namespace lotusyard::core
