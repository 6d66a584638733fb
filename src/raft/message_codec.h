// The consensus messages' own wording. The reader takes nothing that is not whole and sound.
#pragma once

#include <optional>
#include <string>

#include "raft/libraft.h"

namespace lotusyard::raft {

std::string encode_hello(const raft_message& message);
// What it points to is made with raft_malloc; whoever gets it hands it to the library or gives it back.
std::optional<raft_message> decode_message(const std::string& body);
void give_back(raft_message& message);

}  // namespace lotusyard::raft
