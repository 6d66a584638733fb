// The identity of a replica, as its store keeps it and as it announces it to its peers.
#pragma once

#include <cstdint>

#include "raft/config.h"
#include "raft/frame.h"
#include "raft/log_store.h"

namespace lotusyard::raft {

// Initializes the store of a founding member, once, before the first start of the group. Throws
// LogStoreError.
void bootstrap_store(const Config& config);

// Verifies that the identity in a store that is not empty is of this member, and begins its next incarnation.
// Throws config::ConfigError or LogStoreError.
Identity open_identity(LogStore& store, const Config& config);

// Begins an incarnation above the stored one and `above`, which is durable on return. Throws LogStoreError.
void begin_incarnation_above(LogStore& store, Identity& identity, std::uint64_t above);

// The hello with which a replica opens its connections.
Hello make_hello(const Config& config, const Identity& identity);

}  // namespace lotusyard::raft
