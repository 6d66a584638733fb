#include "raft/snapshot_header.h"

#include <nlohmann/json.hpp>

namespace lotusyard::raft {

using nlohmann::json;

std::string encode_snapshot_header(const StoredSnapshot& snapshot) {
  json servers = json::array();
  for (const auto& server : snapshot.servers) {
    servers.push_back({server.id, server.address, server.role});
  }
  const json header = {{"index", snapshot.index},
                       {"term", snapshot.term},
                       {"conf_index", snapshot.conf_index},
                       {"servers", servers}};
  return header.dump();
}

std::optional<StoredSnapshot> decode_snapshot_header(const std::string& header) {
  try {
    const auto document = json::parse(header);
    StoredSnapshot out;
    document.at("index").get_to(out.index);
    document.at("term").get_to(out.term);
    document.at("conf_index").get_to(out.conf_index);
    for (const auto& row : document.at("servers")) {
      StoredServer server;
      row.at(0).get_to(server.id);
      row.at(1).get_to(server.address);
      row.at(2).get_to(server.role);
      out.servers.push_back(std::move(server));
    }
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lotusyard::raft
