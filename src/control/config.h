// The section `control` of a configuration file. Beside a section `group` it makes the member a control node,
// which holds sessions; without one the process is an invoker, which has a session with one of the nodes.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/message.h"
#include "control/session_table.h"
#include "raft/config.h"

namespace lotusyard::control {

struct NodeConfig {
  std::string listen;
  NodeAddress self;                // with the member's name and the address at which invokers reach this node
  std::vector<NodeAddress> nodes;  // the others
  SessionTable::Limits sessions;
  Millis offline = raft::LeaseTerms().max_offline;
};

struct InvokerConfig {
  std::string cluster;
  std::string zone;
  std::string region;
  std::vector<NodeAddress> nodes;  // the seeds
  raft::LeaseTerms terms;          // must equal the nodes'
};

// Both return nothing if the file does not give the process that role, and throw config::ConfigError, which
// names the key, if a setting is invalid.
std::optional<NodeConfig> read_node_config(const nlohmann::json& file, const raft::Config& group);
// `max_deadline`: the longest deadline of the invoker's own calls.
std::optional<InvokerConfig> read_invoker_config(const nlohmann::json& file, Millis max_deadline);

}  // namespace lotusyard::control
