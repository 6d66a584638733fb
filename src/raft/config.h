// The settings of a raft group: the object `group` of the operators' configuration file.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "raft/lease.h"

namespace lotusyard::raft {

// A founding member of the group.
struct PeerAddress {
  std::string name;
  std::string address;  // numeric, with a port
  bool votes = true;    // otherwise it replicates the log without a vote
};

struct Config {
  std::string cluster;  // the name of the group
  std::string member;   // the name of this member
  std::string store;    // the path of the log store's file
  std::string listen;   // the address that this member binds
  std::string address;  // the address at which other members reach it
  // The founding members. A member that joins later requests admission from these.
  std::vector<PeerAddress> members;
  bool serves = true;  // accepts calls; otherwise it only replicates the log
  LeaseTerms terms;
  policy::Millis election_timeout{1000};
  std::optional<policy::Millis> view;  // the gossip period; absent: gossip is off
};

// Reads the object `group` of `file`; returns nothing if there is none. `name` is the default for the
// member's name, `last_call` the longest time limit of any call. Throws config::ConfigError, which names the
// key that is wrong.
std::optional<Config> parse_config(const nlohmann::json& file, const std::string& name,
                                   policy::Millis last_call);

}  // namespace lotusyard::raft
