// Parses the events of the discovery stream and checks their sequence numbers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "core/listed_host.h"

namespace lotusyard::discovery {

// Accepts each event once and in order. Does no I/O.
class EventReader {
 public:
  enum class Result {
    list_update,  // an event that changes the endpoint list
    heartbeat,    // the number of the last event: no event is missing
    ignored,      // an event that was read before, an event of another kind, or an earlier number
    gap,          // events before this one are missing
    malformed     // neither an event nor a heartbeat
  };

  // `last`: the sequence number of the last event that is already known.
  explicit EventReader(std::uint64_t last = 0) : last_(last) {}

  // Reads a line of the stream: an event, or the number of the last event as a heartbeat, alone or as an
  // object with no other key. `update` is set if the result is `list_update`.
  Result read_line(const std::string& line, core::HostListUpdate& update);

  // Reads an event; `update` is set if the result is `list_update`.
  Result read_event(const nlohmann::json& event, core::HostListUpdate& update);

  std::uint64_t last_sequence() const { return last_; }

  // Events up to this one are known from another source.
  void skip_to(std::uint64_t sequence) { last_ = std::max(last_, sequence); }

 private:
  Result read_heartbeat(std::uint64_t sequence) const;

  std::uint64_t last_;  // sequence number of the last event that was read
};

}  // namespace lotusyard::discovery
