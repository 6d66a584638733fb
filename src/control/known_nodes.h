// The control nodes that a session may connect to: the configured ones and a bounded number of others that
// nodes have named. Chooses the next one. No I/O; the time and randomness are passed in.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "control/message.h"

namespace lotusyard::control {

class KnownNodes {
 public:
  static constexpr std::size_t kMaxLearntNodes = 2 * kMaxNodesInMessage;

  // `seeds` are never removed.
  KnownNodes(std::string zone, std::string region, const std::vector<NodeAddress>& seeds);

  // Adds nodes that a node has named. Beyond the bound, those that were named least recently are removed.
  void learn(const std::vector<NodeAddress>& nodes);
  // A session with that node was lost or could not be opened: it is not chosen again before every other
  // node that is not held back has been tried.
  void on_failure(const std::string& address);
  // A node has granted a lease: the nodes that failed may be tried again.
  void clear_failures();
  // The node is not chosen before `until`.
  void hold_back(const std::string& address, Millis until);

  // A random one of the nearest: in this zone, else in this region, else any. Null: all are held back, or
  // none is known.
  const NodeAddress* choose(Millis now, std::mt19937_64& random);
  // The time at which the first node is no longer held back; infinite if no node is known.
  Millis next_available() const;
  std::size_t size() const { return nodes_.size(); }

 private:
  struct Node {
    NodeAddress address;
    bool seed = false;
    bool failed = false;
    Millis not_before{0};
    std::uint64_t last_named_by = 0;  // the number of the last list that named it
  };
  using Candidates = std::vector<const Node*>;
  enum class Distance { same_zone, same_region, elsewhere };  // from the nearest

  std::string zone_;
  std::string region_;
  std::map<std::string, Node> nodes_;  // by address
  std::uint64_t lists_ = 0;            // number of lists learnt
  std::string last_failed_;            // an address

  Distance distance(const NodeAddress& node) const;
  Candidates nearest(const Candidates& candidates) const;
  Candidates available(Millis now) const;
  static Candidates untried(const Candidates& candidates);
  Candidates without_last_failed(const Candidates& candidates) const;
  void drop_oldest();
};

}  // namespace lotusyard::control
