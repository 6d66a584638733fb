#include "raft/replica_identity.h"

#include <vector>

#include "config/config.h"
#include "raft/raft_core.h"

namespace lotusyard::raft {

void bootstrap_store(const Config& config) {
  LogStore store(config.store);
  if (!store.is_empty()) {
    throw LogStoreError("the group's store: " + config.store + ": already initialized");
  }
  std::vector<RaftCore::Server> servers;
  Identity own{config.cluster, config.member, 0, 0};
  for (const auto& member : config.members) {
    // All founding members number the same list, from 1.
    const std::uint64_t id = servers.size() + 1;
    servers.push_back({id, member.address, member.votes ? RAFT_VOTER : RAFT_STANDBY});
    if (member.name == config.member) {
      own.id = id;
    }
  }
  if (own.id == 0) {
    throw LogStoreError("the group's store: " + config.member + " is not one of group.members: it joins");
  }
  store.initialize(own);
  RaftCore::bootstrap(store, servers);
}

Identity open_identity(LogStore& store, const Config& config) {
  Identity identity = store.identity();
  if (identity.cluster != config.cluster) {
    throw config::ConfigError("configuration: group.cluster: the store is of group " + identity.cluster);
  }
  if (identity.member != config.member) {
    throw config::ConfigError("configuration: group.member: the store is of member " + identity.member);
  }
  identity.incarnation = store.begin_next_incarnation();
  return identity;
}

void begin_incarnation_above(LogStore& store, Identity& identity, std::uint64_t above) {
  identity.incarnation = store.begin_next_incarnation();
  if (identity.incarnation <= above) {
    identity.incarnation = above + 1;
    store.initialize(identity);
  }
}

Hello make_hello(const Config& config, const Identity& identity) {
  Hello out;
  out.cluster = config.cluster;
  out.member = config.member;
  out.from = identity.id;
  out.lease = config.terms.lease.count();
  out.drift = config.terms.clock_drift;
  out.last_call = config.terms.max_attempt_time.count();
  return out;
}

}  // namespace lotusyard::raft
