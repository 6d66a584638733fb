// The calls of clients that have no answer yet.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "core/types.h"
#include "resp/client_connection.h"

namespace lotusyard::resp {

struct OpenCall {
  ClientConnection* client = nullptr;  // its connection is open
  std::string tag;                     // chosen by the client
  std::size_t body_bytes = 0;
};

// Finds an open call by its id; each client maps the tags of its open calls to their ids.
class OpenCallTable {
 public:
  // Adds a call, also to its client.
  void add(core::CallId id, const OpenCall& call);
  // Removes a call, also from its client, and returns it; nothing if it is not open.
  std::optional<OpenCall> remove(core::CallId id);
  // Returns the client of an open call, or null.
  ClientConnection* find_client(core::CallId id) const;

  bool contains(core::CallId id) const { return calls_.count(id) != 0; }
  std::size_t size() const { return calls_.size(); }
  std::size_t body_bytes() const { return body_bytes_; }  // of all open calls

 private:
  std::unordered_map<core::CallId, OpenCall> calls_;
  std::size_t body_bytes_ = 0;
};

}  // namespace lotusyard::resp
