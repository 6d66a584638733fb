// What the sessions of a control node see of hosts, merged into the one view that the node reports. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "maintenance/log_entry.h"

namespace lotusyard::node {

class SessionObservations {
 public:
  using SessionId = std::uint64_t;
  static constexpr std::size_t max_hosts = 4096;  // named in one session's view

  // The wording in which an invoker sends its view, and back.
  static std::string encode(const std::string& invoker, const maintenance::HostObservations& view);
  // False: the word is malformed or too large; the session's earlier view stays.
  bool update(SessionId session, const std::string& word);
  // Forgets the sessions that are over.
  void retain(const std::function<bool(SessionId)>& known);

  // With the node's own view of the list. A host is down, has started anew or has served if any session says
  // so; costs and calls are added up.
  maintenance::HostObservations merged(maintenance::HostObservations own) const;
  std::size_t size() const { return views_.size(); }

 private:
  std::map<SessionId, maintenance::HostObservations> views_;
};

}  // namespace lotusyard::node
