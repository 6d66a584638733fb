// Binary serialization of libraft's messages, for frames of the kind `consensus`.
#pragma once

#include <optional>
#include <string>

#include "raft/libraft.h"

namespace lotusyard::raft {

// `message` must be of one of the types that libraft sends.
std::string encode_message(const raft_message& message);

// Returns nothing unless the body is complete and well-formed. The memory that the message refers to is
// allocated with raft_malloc: the caller passes the message on to libraft or releases it by free_message().
std::optional<raft_message> decode_message(const std::string& body);

// Releases the memory of a message made by decode_message().
void free_message(raft_message& message);

}  // namespace lotusyard::raft
