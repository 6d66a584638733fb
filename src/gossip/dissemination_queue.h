// Updates that wait to be piggybacked on outgoing messages, and how often each has been sent. No I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lotusyard::gossip {

// Holds keys only; the owner looks up the current record of a key when it builds a message.
class DisseminationQueue {
 public:
  // Adds an update, or restarts the transmission count of one that is already queued.
  void enqueue(const std::string& key) { transmissions_[key] = 0; }
  std::size_t size() const { return transmissions_.size(); }

  // Returns at most `limit` keys, those sent least often first, and counts one transmission of each. A key is
  // dropped once it has been sent a multiple of log(cluster_size) times: by then all members very probably
  // have it, and periodic full syncs cover the rest.
  std::vector<std::string> take(std::size_t limit, std::size_t cluster_size);

  // Counts a full sync, which carries every queued update to one member. Without this, a large cluster would
  // send full syncs for minutes after a partition has healed.
  void record_full_sync(std::size_t cluster_size);

 private:
  std::map<std::string, int> transmissions_;
};

}  // namespace lotusyard::gossip
