// The bound of the member table.
#include "gossip/member_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace lotusyard::test {
namespace {

using gossip::MemberStatus;
using gossip::Millis;

TEST_CASE("a full member table replaces the members that have been dead for longest, and rejects others") {
  gossip::GossipTiming timing;
  timing.max_members = 10;
  gossip::MemberTable member_table(timing);
  for (int i = 0; i < 10; ++i)
    member_table.merge(
        {"m" + std::to_string(i), "127.0.0.1:1", 1, 0, i < 2 ? MemberStatus::dead : MemberStatus::alive, {}},
        Millis(i));
  CHECK(member_table.merge({"x", "127.0.0.1:1", 1, 0, MemberStatus::alive, {}}, Millis(20)) ==
        gossip::MemberTable::MergeResult::updated);
  CHECK(member_table.find("m0") == nullptr);
  CHECK(member_table.merge({"y", "127.0.0.1:1", 1, 0, MemberStatus::alive, {}}, Millis(20)) ==
        gossip::MemberTable::MergeResult::updated);
  CHECK(member_table.merge({"z", "127.0.0.1:1", 1, 0, MemberStatus::alive, {}}, Millis(20)) ==
        gossip::MemberTable::MergeResult::rejected);
  CHECK(member_table.present_count() == 10);
}

}  // namespace
}  // namespace lotusyard::test
