// What members observe of hosts, merged from all of them.
#include "gossip/member_metadata.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "gossip/property_check.h"
#include "support/fault_injection.h"

namespace lotusyard::test {
namespace {

gossip::HostObservation random_observation() {
  const auto random_below = [](int bound) { return *rc::gen::inRange(0, bound); };
  return {std::string(1, static_cast<char>('h' + random_below(2))),
          static_cast<double>(random_below(3)),
          std::string(1, static_cast<char>('a' + random_below(3))),
          static_cast<std::uint64_t>(random_below(2)),
          static_cast<std::uint64_t>(random_below(4)),
          random_below(2) == 0};
}

std::string state_of(const gossip::MemberMetadata& metadata) {
  std::string out;
  for (const auto& observation : metadata.all())
    out += observation.host + std::to_string(observation.host_incarnation) + observation.observer +
           std::to_string(observation.observer_incarnation) + "." + std::to_string(observation.sequence) +
           (observation.usable ? "+" : "-") + " ";
  return out;
}

// Whether the merged state depends on the order of the observations.
bool order_matters() {
  return !property_holds("observations merge alike in any order, repeated or not", 300, [] {
    const auto count = *rc::gen::inRange<std::size_t>(0, 12);
    std::vector<gossip::HostObservation> all;
    for (std::size_t i = 0; i < count; ++i)
      all.push_back(random_observation());
    gossip::MemberMetadata first;
    gossip::MemberMetadata second;
    for (const auto& observation : all)
      first.merge(observation);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    for (int pass = 0; pass < 2; ++pass) {
      std::shuffle(all.begin(), all.end(), random);
      for (const auto& observation : all)
        second.merge(observation);
    }
    RC_ASSERT(state_of(first) == state_of(second));
  });
}

TEST_CASE("observations of hosts merge alike in any order, repeated or not") {
  CHECK_FALSE(order_matters());
  FaultInjection::Scope broken("merge-order");
  CHECK(order_matters());
}

TEST_CASE("observations of an earlier incarnation of a host, or of observers that are gone, are dropped") {
  gossip::MemberMetadata metadata;
  metadata.merge({"h", 10, "a", 1, 1, false});
  metadata.merge({"h", 20, "b", 1, 1, true});
  CHECK(metadata.merge({"h", 10, "c", 1, 1, false}) == gossip::MemberMetadata::MergeResult::unchanged);
  CHECK(metadata.all().size() == 1);
  CHECK(metadata.failure_reports("h") == 0);
  metadata.retain({"h"}, {"a"});
  CHECK(metadata.all().empty());
  CHECK(metadata.merge({"h", 10, "a", 1, 1, false}) ==
        gossip::MemberMetadata::MergeResult::unchanged);  // the host's incarnation is remembered
  metadata.retain({}, {"a"});
  CHECK(metadata.hosts() == 0);
  FaultInjection::Scope broken("earlier-life");
  gossip::MemberMetadata faulty;
  faulty.merge({"h", 20, "b", 1, 1, true});
  CHECK(faulty.merge({"h", 10, "c", 1, 1, false}) != gossip::MemberMetadata::MergeResult::unchanged);
}

}  // namespace
}  // namespace lotusyard::test
