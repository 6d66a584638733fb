// Host observations that the sessions of a control node forward, merged for the node's heartbeat. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "maintenance/log_entry.h"

namespace lotusyard::node {

// Keeps the latest observations of each session.
class SessionObservations {
 public:
  using SessionId = std::uint64_t;
  // Entries in each list of one session's observations.
  static constexpr std::size_t kMaxHosts = 4096;

  // The JSON form in which an invoker forwards its observations: that of a heartbeat.
  static std::string encode(const std::string& invoker, const maintenance::HostObservations& observations);
  // Replaces the session's observations by the encoded ones. Returns false, and keeps the earlier ones, if
  // `encoded` is malformed or too large.
  bool update(SessionId session, const std::string& encoded);
  // Removes the observations of sessions that are not known any more.
  void retain(const std::function<bool(SessionId)>& is_known);

  // The node's `own` observations joined with those of all sessions. A host is down, restarted or serving if
  // any of them reports it; values and rates are added up.
  maintenance::HostObservations merged(maintenance::HostObservations own) const;
  // Number of sessions with observations.
  std::size_t size() const { return by_session_.size(); }

 private:
  std::map<SessionId, maintenance::HostObservations> by_session_;
};

}  // namespace lotusyard::node
