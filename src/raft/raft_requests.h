// Requests to a libraft instance that leads. Each returns false, without calling `done`, if libraft rejects
// it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "raft/libraft.h"
#include "raft/log_store.h"

namespace lotusyard::raft {

// Called with true once the operation is committed. After false it may still be committed later.
using Completion = std::function<void(bool committed)>;

bool request_apply(::raft& instance, const std::string& entry, Completion done);
// Changes of the configuration: only one may be in progress. `role` is one of libraft's roles.
bool request_add(::raft& instance, const StoredServer& server, Completion done);
bool request_assign(::raft& instance, std::uint64_t id, int role, Completion done);
bool request_remove(::raft& instance, std::uint64_t id, Completion done);

}  // namespace lotusyard::raft
