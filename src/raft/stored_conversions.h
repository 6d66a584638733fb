// Conversions between what the log store holds and libraft's structures.
#pragma once

#include <vector>

#include "raft/libraft.h"
#include "raft/log_store.h"

namespace lotusyard::raft {

StoredSnapshot to_stored_snapshot(const raft_snapshot& from);

// The results are allocated with raft_malloc, and libraft takes ownership of them.
raft_snapshot* to_raft_snapshot(const StoredSnapshot& from);
// Returns null if there are no entries.
raft_entry* to_raft_entries(const std::vector<StoredEntry>& stored);

}  // namespace lotusyard::raft
