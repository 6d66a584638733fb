// Probe intervals, suspicion timeouts and size limits of the gossip protocol. No I/O.
#pragma once

#include <cstddef>

#include "gossip/member_record.h"

namespace lotusyard::gossip {

struct GossipTiming {
  // Protocol period: one member is probed in each.
  Millis period{500};
  // Fraction of a period to wait for the direct probe before indirect probes are requested.
  double direct_probe_fraction = 0.3;
  // Number of members from which an indirect probe is requested.
  std::size_t indirect_probes = 3;
  // Bounds of the suspicion timeout, in periods for each power of ten in the cluster size.
  double min_suspicion_periods = 1.2;
  double max_suspicion_periods = 6;
  // Independent confirmations of a suspicion that reduce the timeout from its upper to its lower bound.
  std::size_t suspicion_confirmations = 3;
  // Periods between full syncs with a present member.
  int full_sync_periods = 30;
  // Periods between full syncs with a dead member or an unused seed address, which rejoin a partitioned
  // cluster.
  int dead_sync_periods = 4;
  // Dead members are removed after this time.
  Millis remove_dead_after{24 * 3600e3};
  std::size_t max_members = 1024;
  // Member records, and likewise host observations, piggybacked on one message.
  std::size_t max_piggybacked = 12;
  // Upper bound of the local health multiplier, by which a degraded member lengthens its own timeouts.
  int max_health_multiplier = 8;

  // Time for a suspected member to refute in a cluster of `cluster_size` members, when `confirmations`
  // members besides the first have suspected it too.
  Millis suspicion_timeout(std::size_t cluster_size, std::size_t confirmations) const;
};

}  // namespace lotusyard::gossip
