// Indirect probes that this member makes on behalf of others. No I/O; the time is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "gossip/member_record.h"

namespace lotusyard::gossip {

class IndirectProbeRelay {
 public:
  struct RelayedProbe {
    std::uint64_t requester_number = 0;  // of the requester's probe; the ack to it repeats this
    std::uint64_t own_number = 0;        // of this member's ping to the target
    std::string requester_address;
    std::string target;
    Millis expires_at{0};
  };

  bool is_full() const;
  // Must not be called while full.
  void add(RelayedProbe probe) { probes_.push_back(std::move(probe)); }
  // Removes and returns the probe that an ack of `target` answers; nothing if there is none.
  std::optional<RelayedProbe> take_answered(std::uint64_t own_number, const std::string& target);
  void remove_expired(Millis now);

 private:
  std::deque<RelayedProbe> probes_;  // in the order of their expiry
};

}  // namespace lotusyard::gossip
