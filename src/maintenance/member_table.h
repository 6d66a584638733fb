// The members of the group and their progress, as recorded in the replicated log. Does no I/O; the time is
// passed in.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "maintenance/log_entry.h"

namespace lotusyard::maintenance {

struct MemberProgress {
  std::uint64_t incarnation = 0;
  bool serves = true;  // whether it serves calls
  std::uint64_t applied_index = 0;
  // As of its last heartbeat: `applied_index`, or less if it represents sessions that are behind.
  std::uint64_t followed_index = 0;
  std::set<std::string> drained_hosts;
  HostObservations observations;
  bool has_reported = false;    // whether `observations` have been received
  Millis last_heartbeat_at{0};  // on this member's clock
};

class MemberTable {
 public:
  using Members = std::map<std::string, MemberProgress>;
  using Incarnations = std::map<std::string, std::uint64_t>;

  MemberTable() = default;
  MemberTable(Members members, Incarnations incarnations)
      : members_(std::move(members)), incarnations_(std::move(incarnations)) {}

  // Returns false if the incarnation is not higher than all earlier ones of the member.
  bool join(const std::string& member, std::uint64_t incarnation, bool serves, Millis now);
  // Returns false if there is no such member.
  bool remove(const std::string& member);
  // Ignores heartbeats of unknown members and of other incarnations.
  void record(const Heartbeat& heartbeat, Millis now);

  const Members& members() const { return members_; }
  // The highest incarnations of all members, including removed ones.
  const Incarnations& incarnations() const { return incarnations_; }
  // The highest incarnation of the member that ever joined; 0 if there was none.
  std::uint64_t last_incarnation(const std::string& member) const;
  // The least number of listed hosts that any serving member has reported; 0 if none has.
  int min_listed_hosts() const;
  // The name of a serving member that has not followed the log up to `index`; null if there is none.
  const std::string* find_member_behind(std::uint64_t index) const;

 private:
  Members members_;
  Incarnations incarnations_;
};

}  // namespace lotusyard::maintenance
