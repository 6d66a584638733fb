// Signs of life go into the log in entries that every member can read, however many members there are.
#include <catch2/catch.hpp>
#include <set>

#include "maintenance/heartbeat_aggregator.h"
#include "maintenance/log_entry_codec.h"

using namespace lotusyard::maintenance;

namespace {

std::map<std::string, Heartbeat> heard_from(int members) {
  std::map<std::string, Heartbeat> out;
  for (int i = 0; i < members; ++i) {
    Heartbeat beat;
    beat.member = "m" + std::to_string(i);
    beat.incarnation = 1790000000000 + static_cast<std::uint64_t>(i);
    beat.sent_at = 1790000000000.25 + i;
    beat.applied_index = 100000 + static_cast<std::uint64_t>(i);
    beat.observations = HostObservations{};
    beat.observations->down = {"h1", "h2"};
    out[beat.member] = beat;
  }
  return out;
}

}  // namespace

TEST_CASE("one entry holds the signs of life of a small group, and one goes out if nobody was heard") {
  CHECK(aggregate_heartbeats(heard_from(3), "{}").entries.size() == 1);
  const AggregatedHeartbeats none = aggregate_heartbeats({}, "{}");
  REQUIRE(none.entries.size() == 1);
  CHECK(std::get<RecordHeartbeats>(none.entries[0].command).heartbeats.empty());
  CHECK(none.entries[0].reason == "{}");
}

TEST_CASE("every sign of life of 5,000 members is in an entry that can be read again") {
  AggregatedHeartbeats gathered = aggregate_heartbeats(heard_from(5000), "{}");
  CHECK(gathered.dropped == 0);
  CHECK(gathered.entries.size() > 1);
  std::set<std::string> members;
  for (const LogEntry& entry : gathered.entries) {
    const std::string text = encode_entry(entry);
    CHECK(text.size() <= kMaxEntryBytes);
    const auto read = parse_entry(text);
    REQUIRE(read.has_value());
    for (const Heartbeat& beat : std::get<RecordHeartbeats>(read->command).heartbeats)
      CHECK(members.insert(beat.member).second);
  }
  CHECK(members.size() == 5000);
}

TEST_CASE("a sign of life that fits no entry is left out and counted, the others are not") {
  auto heard = heard_from(3);
  for (int i = 0; i < 40000; ++i)
    heard["m1"].drained_hosts.insert("host-" + std::to_string(i));
  const AggregatedHeartbeats gathered = aggregate_heartbeats(std::move(heard), "{}");
  CHECK(gathered.dropped == 1);
  REQUIRE(gathered.entries.size() == 1);
  CHECK(std::get<RecordHeartbeats>(gathered.entries[0].command).heartbeats.size() == 2);
}
