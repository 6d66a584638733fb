// The part `group` of an operator's file.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "raft/lease.h"

namespace lotusyard::raft {

struct PeerAddress {
  std::string name, address;
  bool votes = true;
};

struct Config {
  std::string cluster, member, store, listen, address;  // address: where others reach this member
  std::vector<PeerAddress> members;  // with whom the group is founded; whoever joins later asks these
  bool serves = true;                // takes calls; else it only votes and learns
  LeaseTerms terms;
  policy::Millis election{1000};
  std::optional<policy::Millis> view;  // the period of the fleet's view; nothing: none is kept
};

// Throws config::ConfigError naming the key; nothing: the file has no such part. `last_call`: the longest
// limit of a call.
std::optional<Config> parse_config(const nlohmann::json& file, const std::string& name,
                                   policy::Millis last_call);

}  // namespace lotusyard::raft
