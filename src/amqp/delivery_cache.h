// Running calls, and the answers of calls that ended recently. A message may be delivered again; the cache
// finds its call by the key of the message, see call_key() in delivery_parser.h.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "amqp/publication.h"
#include "core/types.h"

namespace lotusyard::amqp {

// A delivery that is answered and acknowledged once its call has ended.
struct WaitingDelivery {
  std::uint64_t tag = 0;  // on the current channel
  Publication publication;
};

// A publication that this process has received, and what is known of its answer.
struct ReceivedPublication {
  Publication publication;
  bool confirmed = false;     // the broker holds the answer
  bool acknowledged = false;  // on the channel that is open: the broker does not deliver it again there
  bool superseded = false;    // it was rejected, and its client has published the message again
};

struct CachedDelivery {
  bool non_idempotent = false;
  std::shared_ptr<const core::Answer> answer;  // null while the call runs
  std::vector<WaitingDelivery> waiters;        // while it runs
  // A delivery that joined the call while it ran may have run elsewhere.
  bool may_have_run_elsewhere = false;
  std::vector<ReceivedPublication> publications;  // the newest ones

  ReceivedPublication* find(const Publication& publication);
  // Adds the publication unless it is there already.
  ReceivedPublication& add(const Publication& publication);
};

// Bounded: the oldest answers are evicted first, running calls never.
class DeliveryCache {
 public:
  DeliveryCache(std::size_t max_answers, std::size_t max_bytes)
      : max_answers_(max_answers), max_bytes_(max_bytes) {}

  // Returns null if the call is not in the cache. The pointer is valid until the next change of the cache.
  CachedDelivery* find(const std::string& call_key);
  // Adds a call that has started; replaces the entry of an earlier one with the same key. If that one was
  // rejected, its publications stay known as superseded by this one.
  CachedDelivery& insert(const std::string& call_key, bool non_idempotent, const Publication& publication);
  // Sets the answer of a running call; ignored if the call is not in the cache or has one.
  void complete(const std::string& call_key, core::Answer&& answer);
  // The broker delivers all unacknowledged messages again, with other tags. An acknowledgement may be lost.
  void on_channel_closed();
  std::size_t size() const { return entries_.size(); }
  std::size_t running_count() const { return entries_.size() - completed_.size(); }

 private:
  struct Entry {
    CachedDelivery delivery;
    std::list<std::string>::iterator completed_position;  // valid once there is an answer
  };

  bool is_over_limit() const;
  std::vector<ReceivedPublication> take_rejected_publications(const std::string& call_key);
  void erase(const std::string& call_key);

  const std::size_t max_answers_;
  const std::size_t max_bytes_;
  std::size_t bytes_ = 0;  // of the answers, estimated
  std::unordered_map<std::string, Entry> entries_;
  std::list<std::string> completed_;  // keys, the oldest answer first
};

}  // namespace lotusyard::amqp
