// Binary serialization of the log entries in a message AppendEntries.
#pragma once

#include <string>

#include "raft/bytes.h"
#include "raft/libraft.h"

namespace lotusyard::raft {

void put_entries(std::string& out, const raft_append_entries& message);

// Sets the entries of `out`, allocated with raft_malloc in one batch. Returns false, and allocates nothing,
// if the entries are malformed or memory is exhausted.
bool read_entries(Reader& reader, raft_append_entries& out);

}  // namespace lotusyard::raft
