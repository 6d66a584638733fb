// Signs of life go into the log in entries that every member can read, however many members there are.
#include "works/gather.h"

#include <catch2/catch.hpp>
#include <set>

using namespace lotusyard::works;

namespace {

std::map<std::string, Beat> heard_from(int members) {
  std::map<std::string, Beat> out;
  for (int i = 0; i < members; ++i) {
    Beat beat;
    beat.member = "m" + std::to_string(i);
    beat.life = 1790000000000 + static_cast<std::uint64_t>(i);
    beat.stamp = 1790000000000.25 + i;
    beat.has = 100000 + static_cast<std::uint64_t>(i);
    beat.view = View{};
    beat.view->down = {"h1", "h2"};
    out[beat.member] = beat;
  }
  return out;
}

}  // namespace

TEST_CASE("one entry holds the signs of life of a small group, and one goes out if nobody was heard") {
  CHECK(gather(heard_from(3), "{}").entries.size() == 1);
  const Gathered none = gather({}, "{}");
  REQUIRE(none.entries.size() == 1);
  CHECK(none.entries[0].beats.empty());
  CHECK(none.entries[0].reason == "{}");
}

TEST_CASE("every sign of life of 5,000 members is in an entry that can be read again") {
  Gathered gathered = gather(heard_from(5000), "{}");
  CHECK(gathered.left_out == 0);
  CHECK(gathered.entries.size() > 1);
  std::set<std::string> members;
  for (const Entry& entry : gathered.entries) {
    const std::string text = worded(entry);
    CHECK(text.size() <= longest_entry);
    const auto read = read_entry(text);
    REQUIRE(read.has_value());
    for (const Beat& beat : read->beats) CHECK(members.insert(beat.member).second);
  }
  CHECK(members.size() == 5000);
}

TEST_CASE("a sign of life that fits no entry is left out and counted, the others are not") {
  auto heard = heard_from(3);
  for (int i = 0; i < 40000; ++i) heard["m1"].drained.insert("host-" + std::to_string(i));
  const Gathered gathered = gather(std::move(heard), "{}");
  CHECK(gathered.left_out == 1);
  REQUIRE(gathered.entries.size() == 1);
  CHECK(gathered.entries[0].beats.size() == 2);
}
