// Everyone that one member knows of, and what it believes of each. Records are merged here alone, and the
// table shrinks here alone. No I/O; the time is passed in.
#pragma once

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
    Millis since{0};                 // when it came to this standing, as seen here
    std::set<std::string> accusers;  // while it is suspected
  };
  enum class MergeResult {
    updated,
    more_accusers,
    unchanged,
    rejected
  };  // louder: one more member suspects it

  explicit MemberTable(const GossipTiming& pace) : pace_(pace) {}
  MergeResult merge(const MemberRecord& peer, Millis now);
  // Those whose time to speak up is over. `stretch`: how many times longer a member that doubts itself waits.
  std::vector<MemberRecord> expired_suspects(Millis now, double stretch) const;
  Millis next_suspicion_expiry(double stretch) const;
  void later(Millis by);  // this member saw nothing for so long: nobody's time ran meanwhile
  void forget(Millis now, const std::string& self);
  void forget_all_but(const std::string& self);

  const std::map<std::string, Member>& all() const { return all_; }
  const MemberRecord* find(const std::string& name) const;
  std::size_t present_count() const { return here_; }

 private:
  const GossipTiming& pace_;
  std::map<std::string, Member> all_;
  std::set<std::string> suspects_;
  std::size_t here_ = 0;

  Millis until(const Member& known, double stretch) const;
  void book(const Member& known, int by);  // in what is counted
  bool make_room();
};

}  // namespace lotusyard::gossip
