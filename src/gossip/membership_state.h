// One member's view of the cluster, and the rules by which it merges what others report. No I/O; the time
// is passed in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gossip/dissemination_queue.h"
#include "gossip/gossip_timing.h"
#include "gossip/local_health.h"
#include "gossip/member_metadata.h"
#include "gossip/member_table.h"
#include "gossip/message.h"
#include "gossip/probe_order.h"

namespace lotusyard::gossip {

// Owns this member's own record, the table of members, the host observations and the updates that wait for
// dissemination. Nothing else writes them.
class MembershipState {
 public:
  // Events since the start.
  struct Counts {
    std::uint64_t refuted = 0;    // suspicions of this member that it has refuted
    std::uint64_t suspected = 0;  // members suspected because of a failed probe
    std::uint64_t died = 0;       // members declared dead after a suspicion timeout
    std::uint64_t stalls = 0;     // pauses of this process
    std::uint64_t refused = 0;    // records rejected because the table is full
  };

  // `timing`, `health` and `probe_order` must outlive this object.
  MembershipState(MemberRecord self, const GossipTiming& timing, LocalHealth& health, ProbeOrder& probe_order,
                  Millis now);

  const MemberRecord& self() const { return self_; }
  // Another process with this name has a later incarnation; this one must be silent.
  bool is_superseded() const { return superseded_; }
  const MemberTable& members() const { return members_; }
  MemberMetadata& metadata() { return metadata_; }
  const MemberMetadata& metadata() const { return metadata_; }
  const Counts& counts() const { return counts_; }
  // Records accepted since the last call that change a member's status or incarnation.
  std::vector<MemberRecord> take_changes() { return std::exchange(changes_, {}); }

  // A random sample of at most `limit` present members other than this one and `excluded`. The pointers are
  // valid until the next change.
  std::vector<const MemberRecord*> sample_present(std::size_t limit, const std::string& excluded,
                                                  std::mt19937_64& random) const;

  // Changes of this member's own record and observations.
  void set_serving(Millis now);
  void set_left(Millis now);
  void observe(const std::string& host, double host_incarnation, bool usable);

  void merge(const MemberRecord& record, Millis now);
  void merge(const HostObservation& observation);
  void merge_all(const Message& message, Millis now);

  // Marks a present member as suspected by this one; returns its record.
  MemberRecord suspect(const MemberRecord& member, Millis now);
  void declare_expired_suspects_dead(Millis now);
  void record_pause(Millis duration);
  void remove_dead(Millis now) { members_.remove_dead(now, self_.name); }
  void remove_others() { members_.remove_all_but(self_.name); }

  // Add to a message the updates that were sent least often, or everything.
  void attach_updates(Message& message);
  void attach_full_state(Message& message);
  // More updates wait than the next messages can carry.
  bool has_dissemination_backlog() const;

 private:
  const GossipTiming& timing_;
  LocalHealth& health_;
  ProbeOrder& probe_order_;
  MemberRecord self_;
  MemberTable members_;
  MemberMetadata metadata_;
  DisseminationQueue member_updates_;       // by name
  DisseminationQueue observation_updates_;  // by host and observer
  std::uint64_t observation_sequence_ = 0;
  bool superseded_ = false;
  Counts counts_;
  std::vector<MemberRecord> changes_;

  void merge_self(const MemberRecord& record, Millis now);
  void merge_into_table(const MemberRecord& record, Millis now);
  void merge_from_full_sync(MemberRecord record, Millis now);
  void record_update(const MemberRecord* previous, const MemberRecord& record);
  void refute(std::uint64_t claimed_refutation, Millis now);
};

}  // namespace lotusyard::gossip
