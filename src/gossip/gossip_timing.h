// How fast members look after one another, and how long one may stay suspected. No I/O.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "gossip/member_record.h"

namespace lotusyard::gossip {

struct GossipTiming {
  Millis period{500};               // one member is asked for a sign in each
  double direct_probe_share = 0.3;  // part of it after which others are asked to try
  std::size_t indirect_probes = 3;  // so many
  double min_suspicion = 1.2,
         max_suspicion = 6;    // periods for each tenfold of members that a suspected one has to speak up
  std::size_t accusers = 3;    // so many that found it silent bring the one down to the other
  int full_sync_periods = 30;  // periods between full exchanges with one that is here
  int dead_sync_periods = 4;   // and with one that is not: so that parts of a fleet find each other again
  Millis forget_dead_after{24 * 3600e3};  // a member gone for so long is forgotten
  std::size_t max_members = 1024, max_piggybacked = 12;
  int max_health_multiplier = 8;  // of itself: its periods and its patience grow by so many times at most

  // With n members and the given number of accusers beside the first.
  Millis suspicion_timeout(std::size_t n, std::size_t further) const {
    const double tenfolds = std::max(2.0, std::log10(static_cast<double>(std::max<std::size_t>(n, 1))));
    const std::size_t wanted = n > 2 ? std::min(accusers, n - 2) : 0;  // all but it and the first
    const double low = min_suspicion * tenfolds,
                 high = wanted == 0 ? low * 2 : max_suspicion / min_suspicion * low / 2;
    const double part = wanted == 0 ? 0
                                    : std::log(static_cast<double>(std::min(further, wanted)) + 1) /
                                          std::log(static_cast<double>(wanted) + 1);
    return period * std::max(low, high - (high - low) * part);
  }
};

}  // namespace lotusyard::gossip
