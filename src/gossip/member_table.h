// The known members, with the newest record of each. No I/O; the time is passed in.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gossip/gossip_timing.h"
#include "gossip/member_record.h"

namespace lotusyard::gossip {

class MemberTable {
 public:
  struct Member {
    MemberRecord record;
    Millis since{0};                     // when this table accepted the record
    std::set<std::string> suspecting{};  // members known to suspect this one
  };
  enum class MergeResult {
    updated,
    confirmed,  // one more member is known to suspect it
    unchanged,
    rejected  // the table is full of present members
  };

  // `timing` must outlive the table.
  explicit MemberTable(const GossipTiming& timing) : timing_(timing) {}

  // Keeps the newer of the known record and `record`.
  MergeResult merge(const MemberRecord& record, Millis now);

  // The suspected members whose suspicion has timed out. Timeouts are multiplied by `timeout_multiplier`, the
  // local health multiplier.
  std::vector<MemberRecord> expired_suspects(Millis now, double timeout_multiplier) const;
  // When the next suspicion times out; infinite if no member is suspected.
  Millis next_suspicion_expiry(double timeout_multiplier) const;
  // Extends all suspicions by a time in which this process did not run.
  void extend_suspicions(Millis by);

  // Removes the members that have been absent for longer than the configured time, but not `self`.
  void remove_dead(Millis now, const std::string& self);
  void remove_all_but(const std::string& self);

  const std::map<std::string, Member>& all() const { return members_; }
  // Null if the member is unknown; valid until the table changes.
  const MemberRecord* find(const std::string& name) const;
  std::size_t present_count() const { return present_count_; }

 private:
  const GossipTiming& timing_;
  std::map<std::string, Member> members_;
  std::set<std::string> suspects_;
  std::size_t present_count_ = 0;

  Millis suspicion_expiry(const Member& member, double timeout_multiplier) const;
  void add_to_counts(const MemberRecord& record);
  void remove_from_counts(const MemberRecord& record);
  MergeResult merge_confirmation(Member& member, const MemberRecord& record) const;
  bool evict_longest_absent();
};

}  // namespace lotusyard::gossip
