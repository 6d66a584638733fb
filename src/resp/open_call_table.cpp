#include "resp/open_call_table.h"

#include <utility>

namespace lotusyard::resp {

void OpenCallTable::add(core::CallId id, const OpenCall& call) {
  calls_[id] = call;
  call.client->add_open_call(call.tag, id);
  body_bytes_ += call.body_bytes;
}

std::optional<OpenCall> OpenCallTable::remove(core::CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return std::nullopt;
  OpenCall call = std::move(found->second);
  calls_.erase(found);
  body_bytes_ -= call.body_bytes;
  call.client->remove_open_call(call.tag);
  return call;
}

ClientConnection* OpenCallTable::find_client(core::CallId id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second.client;
}

}  // namespace lotusyard::resp
