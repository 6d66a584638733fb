// Running calls, and the answers of calls that ended recently. A message may be delivered again; the cache
// finds its call by the key of the message, see call_key() in delivery_parser.h.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "amqp/reply_address.h"
#include "core/types.h"

namespace lotusyard::amqp {

// A delivery that is answered and acknowledged once its call has ended.
struct WaitingDelivery {
  std::uint64_t tag = 0;  // on the current channel
  ReplyAddress address;
};

struct CachedDelivery {
  bool non_idempotent = false;
  std::shared_ptr<const core::Answer> answer;  // null while the call runs
  std::vector<WaitingDelivery> waiters;        // while it runs
  std::vector<ReplyAddress> confirmed;         // the broker holds the answer for these
};

// Bounded: the oldest answers are evicted first, running calls never.
class DeliveryCache {
 public:
  DeliveryCache(std::size_t max_answers, std::size_t max_bytes)
      : max_answers_(max_answers), max_bytes_(max_bytes) {}

  // Returns null if the call is not in the cache. The pointer is valid until the next change of the cache.
  CachedDelivery* find(const std::string& call_key);
  // Adds a call that has started; replaces the entry of an earlier one with the same key.
  CachedDelivery& insert(const std::string& call_key, bool non_idempotent);
  // Sets the answer of a running call; ignored if the call is not in the cache or has one.
  void complete(const std::string& call_key, core::Answer&& answer);
  // The channel has closed: the broker delivers all unacknowledged messages again, with other tags.
  void clear_waiters();
  std::size_t size() const { return entries_.size(); }
  std::size_t running_count() const { return entries_.size() - completed_.size(); }

 private:
  struct Entry {
    CachedDelivery delivery;
    std::list<std::string>::iterator completed_position;  // valid once there is an answer
  };

  bool is_over_limit() const;
  void erase(const std::string& call_key);

  const std::size_t max_answers_;
  const std::size_t max_bytes_;
  std::size_t bytes_ = 0;  // of the answers, estimated
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> completed_;  // keys, the oldest answer first
};

}  // namespace lotusyard::amqp
