// The control nodes that a session may go to: the configured ones and a bounded number of others learnt from
// nodes, and which of them is next. No I/O; the time and chance are passed in.
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
  static constexpr std::size_t most_learnt = 2 * most_nodes_told;

  // `seeds` are never forgotten.
  KnownNodes(std::string zone, std::string region, const std::vector<NodeAddress>& seeds);

  // A node told of others. Beyond the bound those that were told of least recently are forgotten.
  void learn(const std::vector<NodeAddress>& told);
  // A session with that node was lost or did not come about: it is not chosen again before every other node
  // that is not held back was tried as well.
  void failed(const std::string& address);
  void forget_failures();  // a node granted a lease: what failed before may be tried again
  void hold_back(const std::string& address, Millis until);

  // One at random of those nearest: of this zone, else of this region, else any. Null: all are held back, or
  // none is known.
  const NodeAddress* choose(Millis now, std::mt19937_64& random);
  // When the first of them is not held back any more; infinite if none is known.
  Millis next_available() const;
  std::size_t size() const { return nodes_.size(); }

 private:
  struct Node {
    NodeAddress at;
    bool seed = false;
    bool failed = false;
    Millis not_before{0};
    std::uint64_t told = 0;  // the number of the last list that named it
  };
  using Candidates = std::vector<const Node*>;
  std::string zone_, region_;
  std::map<std::string, Node> nodes_;  // by address
  std::uint64_t lists_ = 0;
  std::string last_failed_;  // an address

  int distance(const NodeAddress& node) const;
  Candidates nearest(const Candidates& from) const;
  Candidates available(Millis now) const;
  Candidates untried(const Candidates& from) const;
  Candidates without_last_failed(const Candidates& from) const;
  void forget_oldest();
};

}  // namespace lotusyard::control
