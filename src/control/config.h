// The part `control` of an operator's file. Beside a part `group` it makes the member a control node, which
// holds sessions; without one the process is an invoker, which has a session with one of the nodes.
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
  NodeAddress self;                // under the member's name; `address`: where invokers reach this node
  std::vector<NodeAddress> nodes;  // the others
  SessionTable::Limits sessions;
  Millis offline = raft::LeaseTerms().max_offline;
};

struct InvokerConfig {
  std::string cluster, zone, region;
  std::vector<NodeAddress> nodes;  // where to begin
  raft::LeaseTerms terms;          // must equal the nodes'
};

// Both throw config::ConfigError naming the key; nothing: the file does not give the process that role.
std::optional<NodeConfig> read_node_config(const nlohmann::json& file, const raft::Config& group);
// `longest_deadline`: of the invoker's own calls.
std::optional<InvokerConfig> read_invoker_config(const nlohmann::json& file, Millis longest_deadline);

}  // namespace lotusyard::control
