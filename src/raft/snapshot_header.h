// The JSON form in which the log store keeps a snapshot's fields other than its data.
#pragma once

#include <optional>
#include <string>

#include "raft/log_store.h"

namespace lotusyard::raft {

std::string encode_snapshot_header(const StoredSnapshot& snapshot);
// Returns a snapshot without data, or nothing if the header is malformed.
std::optional<StoredSnapshot> decode_snapshot_header(const std::string& header);

}  // namespace lotusyard::raft
