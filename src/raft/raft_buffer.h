// libraft's buffers, from and to strings.
#pragma once

#include <cstring>
#include <string>

#include "raft/libraft.h"

namespace lotusyard::raft {

// Made with raft_malloc; null: there is no memory.
inline void* copied(const std::string& data) {
  void* out = raft_malloc(data.empty() ? 1 : data.size());
  if (out != nullptr && !data.empty()) std::memcpy(out, data.data(), data.size());
  return out;
}

inline std::string text_of(const raft_buffer& buffer) {
  return buffer.len == 0 ? std::string() : std::string(static_cast<const char*>(buffer.base), buffer.len);
}

}  // namespace lotusyard::raft
