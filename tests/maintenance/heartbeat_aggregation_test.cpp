// Heartbeats are packed into log entries within the size limit, whatever the number of members.
#include <catch2/catch.hpp>
#include <set>

#include "maintenance/heartbeat_aggregator.h"
#include "maintenance/log_entry_codec.h"

using namespace lotusyard::maintenance;

namespace {

std::map<std::string, Heartbeat> make_heartbeats(int members) {
  std::map<std::string, Heartbeat> out;
  for (int i = 0; i < members; ++i) {
    Heartbeat heartbeat;
    heartbeat.member = "m" + std::to_string(i);
    heartbeat.incarnation = 1790000000000 + static_cast<std::uint64_t>(i);
    heartbeat.sent_at = 1790000000000.25 + i;
    heartbeat.applied_index = 100000 + static_cast<std::uint64_t>(i);
    heartbeat.observations = HostObservations{};
    heartbeat.observations->down = {"h1", "h2"};
    out[heartbeat.member] = heartbeat;
  }
  return out;
}

}  // namespace

TEST_CASE(
    "the heartbeats of a small group fit into one entry, and there is one entry even without heartbeats") {
  CHECK(aggregate_heartbeats(make_heartbeats(3), "{}").entries.size() == 1);
  const AggregatedHeartbeats none = aggregate_heartbeats({}, "{}");
  REQUIRE(none.entries.size() == 1);
  CHECK(std::get<RecordHeartbeats>(none.entries[0].command).heartbeats.empty());
  CHECK(none.entries[0].reason == "{}");
}

TEST_CASE("every heartbeat of 5,000 members is in an entry that can be parsed") {
  AggregatedHeartbeats aggregated = aggregate_heartbeats(make_heartbeats(5000), "{}");
  CHECK(aggregated.dropped == 0);
  CHECK(aggregated.entries.size() > 1);
  std::set<std::string> members;
  for (const LogEntry& entry : aggregated.entries) {
    const std::string text = encode_entry(entry);
    CHECK(text.size() <= kMaxEntryBytes);
    const auto parsed = parse_entry(text);
    REQUIRE(parsed.has_value());
    for (const Heartbeat& heartbeat : std::get<RecordHeartbeats>(parsed->command).heartbeats)
      CHECK(members.insert(heartbeat.member).second);
  }
  CHECK(members.size() == 5000);
}

TEST_CASE("a heartbeat too large for any entry is dropped and counted, and the others are kept") {
  auto heartbeats = make_heartbeats(3);
  for (int i = 0; i < 40000; ++i)
    heartbeats["m1"].drained_hosts.insert("host-" + std::to_string(i));
  const AggregatedHeartbeats aggregated = aggregate_heartbeats(std::move(heartbeats), "{}");
  CHECK(aggregated.dropped == 1);
  REQUIRE(aggregated.entries.size() == 1);
  CHECK(std::get<RecordHeartbeats>(aggregated.entries[0].command).heartbeats.size() == 2);
}
