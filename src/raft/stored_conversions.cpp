#include "raft/stored_conversions.h"

#include "raft/raft_buffer.h"

namespace lotusyard::raft {

StoredSnapshot to_stored_snapshot(const raft_snapshot& from) {
  StoredSnapshot out{from.index, from.term, from.configuration_index, {}, {}};
  for (unsigned i = 0; i < from.configuration.n; ++i) {
    const auto& server = from.configuration.servers[i];
    out.servers.push_back({server.id, server.address, server.role});
  }
  for (unsigned i = 0; i < from.n_bufs; ++i) {
    out.data += to_string(from.bufs[i]);
  }
  return out;
}

raft_snapshot* to_raft_snapshot(const StoredSnapshot& from) {
  auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
  out->index = from.index;
  out->term = from.term;
  out->configuration_index = from.conf_index;
  raft_configuration_init(&out->configuration);
  for (const auto& server : from.servers) {
    raft_configuration_add(&out->configuration, server.id, server.address.c_str(), server.role);
  }
  out->bufs = static_cast<raft_buffer*>(raft_calloc(1, sizeof(raft_buffer)));
  out->n_bufs = 1;
  out->bufs[0].base = copy_to_raft_memory(from.data);
  out->bufs[0].len = from.data.size();
  return out;
}

raft_entry* to_raft_entries(const std::vector<StoredEntry>& stored) {
  if (stored.empty()) {
    return nullptr;
  }
  auto* out = static_cast<raft_entry*>(raft_calloc(stored.size(), sizeof(raft_entry)));
  for (std::size_t i = 0; i < stored.size(); ++i) {
    out[i].term = stored[i].term;
    out[i].type = stored[i].type;
    out[i].buf.len = stored[i].data.size();
    out[i].buf.base = copy_to_raft_memory(stored[i].data);
  }
  return out;
}

}  // namespace lotusyard::raft
