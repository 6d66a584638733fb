// Conversions between strings and libraft's buffers.
#pragma once

#include <cstring>
#include <string>
#include <string_view>

#include "raft/libraft.h"

namespace lotusyard::raft {

// Returns a copy allocated with raft_malloc, which the caller owns; null if memory is exhausted.
inline void* copy_to_raft_memory(std::string_view data) {
  void* out = raft_malloc(data.empty() ? 1 : data.size());
  if (out != nullptr && !data.empty()) {
    std::memcpy(out, data.data(), data.size());
  }
  return out;
}

// Returns a copy of the content; the buffer keeps its memory.
inline std::string to_string(const raft_buffer& buffer) {
  return buffer.len == 0 ? std::string() : std::string(static_cast<const char*>(buffer.base), buffer.len);
}

}  // namespace lotusyard::raft
