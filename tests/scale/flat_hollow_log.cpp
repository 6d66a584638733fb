// Costs of the replicated state by members, hosts and certificates: bytes of entries and snapshots, and
// processor time to encode, decode, apply, snapshot and restore. Run by name: lotusyard_scale_tests
// "[hollow-log]".
#include <catch2/catch.hpp>

#include "maintenance/log_entry_codec.h"
#include "scale/point.h"
#include "scale/tier.h"

namespace lotusyard::scale {
namespace {

constexpr std::uint64_t kIncarnation = 1764650000000;  // as that of a member that joined after the bootstrap
constexpr double kMicroseconds = 1e6;
const gossip::Millis kNow{1.7e12};

std::string member_name(std::size_t i) { return "m" + std::to_string(i); }
std::string host_name(std::size_t i) { return "h" + std::to_string(i); }

// Heartbeats of all members at rest; if `views`, with observations of the `hosts` hosts of an open job.
MaintenanceEntry heartbeats_of(std::size_t members, bool views, std::size_t hosts) {
  maintenance::RecordHeartbeats out;
  for (std::size_t i = 0; i < members; ++i) {
    Heartbeat heartbeat{member_name(i), kIncarnation, kNow.count() + 0.123 * static_cast<double>(i),
                        123456,         {},           std::nullopt};
    if (views) {
      heartbeat.observations.emplace();
      heartbeat.observations->listed_hosts = static_cast<int>(std::max<std::size_t>(hosts, 12));
      for (std::size_t h = 0; h < hosts; ++h)
        heartbeat.observations->serving_value[host_name(h)] = 1.25;
    }
    out.heartbeats.push_back(std::move(heartbeat));
  }
  return {std::move(out), "{}", {}};
}

MaintenanceState state_with_members(std::size_t members) {
  MaintenanceState out;
  std::uint64_t index = 0;
  for (std::size_t i = 0; i < members; ++i) {
    maintenance::Join join;
    join.member = member_name(i);
    join.incarnation = kIncarnation;
    out.apply(++index, {join, {}, {}}, kNow);
  }
  return out;
}

struct Costs {
  std::string test;
  std::string against;
  std::map<std::string, double> given;
  std::map<std::string, Series> series;
  double x = 0;  // position of the next points in the fits
  std::size_t members = 0;

  void point(const std::string& metric, const std::vector<double>& values) {
    series[metric].add(x, print({test, members, "member", metric, 0, given}, values));
  }
  // Prints whether the program accepts what was measured; not part of the fits.
  void status(const std::string& metric, bool accepted) const {
    print({test, members, "member", metric, 0, given}, {accepted ? 1.0 : 0.0});
  }
  void print_fits(double target) const {
    for (const auto& [metric, line] : series)
      print_fit({test, 0, "member", metric, 0, {}}, against, line, target);
  }
};

template <typename Body>
std::vector<double> microseconds(int times, const Body& body) {
  auto out = timed(times, body);
  for (double& value : out)
    value *= kMicroseconds;
  return out;
}

// Encodes, decodes and applies one entry of heartbeats, and measures the state's snapshot.
void measure_maintenance(Costs& costs, std::size_t members, bool views, std::size_t hosts) {
  const int times = members > 3000 ? 5 : 9;
  const MaintenanceEntry entry = heartbeats_of(members, views, hosts);
  std::string encoded;
  costs.point("word_us", microseconds(times, [&] { encoded = maintenance::encode_entry(entry); }));
  costs.point("entry_bytes", {static_cast<double>(encoded.size())});
  std::optional<MaintenanceEntry> decoded;
  const auto decode_times = microseconds(times, [&] { decoded = maintenance::parse_entry(encoded); });
  costs.status("read_back", decoded.has_value());  // if not, the member's lease is revoked for good
  if (decoded)
    costs.point("read_us", decode_times);

  const double before = allocated_bytes();
  MaintenanceState state = state_with_members(members);
  std::uint64_t index = members;
  costs.point("apply_us", microseconds(times, [&] { state.apply(++index, entry, kNow); }));
  costs.point("state_bytes", {allocated_bytes() - before});
  std::string snapshot;
  costs.point("snapshot_us", microseconds(times, [&] { snapshot = state.snapshot().dump(); }));
  costs.point("snapshot_bytes", {static_cast<double>(snapshot.size())});
  MaintenanceState restored;
  const auto restore = [&] { REQUIRE(restored.restore(nlohmann::json::parse(snapshot), kNow)); };
  costs.point("restore_us", microseconds(times, restore));
}

TEST_CASE("maintenance state, by members", "[.][scale][hollow-log]") {
  for (const bool views : {false, true}) {
    Costs costs{views ? "board_with_views" : "board_without_views", "members", {}, {}, 0, 0};
    for (const std::size_t members : {100, 300, 1000, 3000, 10000, 16000}) {
      costs.x = static_cast<double>(costs.members = members);
      measure_maintenance(costs, members, views, 0);
    }
    costs.print_fits(kTargetMembers);
  }
}

TEST_CASE("maintenance state, by hosts of an open job", "[.][scale][hollow-log]") {
  constexpr double hosts_at_target = 1000;
  Costs costs{"board_by_hosts", "hosts", {}, {}, 0, 100};
  for (const std::size_t hosts : {12, 120, 300, 1000}) {
    costs.x = costs.given["hosts"] = static_cast<double>(hosts);
    measure_maintenance(costs, costs.members, true, hosts);
  }
  costs.print_fits(hosts_at_target);
}

// The largest number of members' heartbeats in one entry that the program can decode.
TEST_CASE("the most members that one entry holds", "[.][scale][hollow-log]") {
  for (const bool views : {false, true}) {
    std::size_t fitting = 1, too_many = 16000;
    while (too_many - fitting > 1) {
      const std::size_t middle = (fitting + too_many) / 2;
      const bool decoded =
          maintenance::parse_entry(maintenance::encode_entry(heartbeats_of(middle, views, 0))).has_value();
      (decoded ? fitting : too_many) = middle;
    }
    print({"board_limit", fitting, "member", views ? "members_with_views" : "members_without_views", 0, {}},
          {static_cast<double>(fitting)});
  }
}

TEST_CASE("quota epochs, by members", "[.][scale][hollow-log]") {
  Costs costs{"epochs", "members", {}, {}, 0, 0};
  for (const std::size_t members : {100, 300, 1000, 3000, 10000, 16000}) {
    costs.x = static_cast<double>(costs.members = members);
    quota::BeginEpoch epoch;
    for (std::size_t i = 0; i < members; ++i)
      epoch.holders.emplace(member_name(i), kIncarnation);
    std::string encoded;
    costs.point("word_us", microseconds(9, [&] { encoded = quota::encode_entry(epoch); }));
    costs.point("entry_bytes", {static_cast<double>(encoded.size())});
    costs.point("read_us", microseconds(9, [&] { REQUIRE(quota::parse_entry(encoded)); }));
    QuotaEpochs epochs;
    const bool accepted = epochs.apply(1, epoch);
    costs.status("taken", accepted);  // more than 1,024 holders are rejected
    if (accepted)
      costs.point("snapshot_bytes", {static_cast<double>(epochs.snapshot().dump().size())});
  }
  costs.print_fits(kTargetMembers);
}

compliance::LogEntry certificate(std::size_t i) {
  compliance::Certificate out;
  out.name = "certificate" + std::to_string(i);
  out.host = host_name(i);
  out.regime = "r";
  out.valid_from = gossip::Millis(1);
  out.valid_until = gossip::Millis(4e12);
  return {compliance::Certify{out}};
}

TEST_CASE("certificate state, by certificates", "[.][scale][hollow-log]") {
  constexpr double certificates_most = 4096;
  Costs costs{"book", "certificates", {}, {}, 0, 0};
  for (const std::size_t certificates : {10, 100, 1000, 4000}) {
    costs.x = costs.given["certificates"] = static_cast<double>(certificates);
    const double before = allocated_bytes();
    CertificateState state;
    REQUIRE(state.apply(1, {compliance::PutRegime{{"r", "", false}}}).done);
    REQUIRE(state.apply(2, {compliance::PutTenant{"t", {"r"}}}).done);
    for (std::size_t i = 0; i < certificates; ++i)
      REQUIRE(state.apply(3 + i, certificate(i)).done);
    costs.point("state_bytes", {allocated_bytes() - before});
    const compliance::HostLocation last{host_name(certificates - 1), "", 0};
    costs.point("may_us", microseconds(9, [&] {
                  REQUIRE(state.check("t", last, true, kNow, gossip::Millis(1000)).allowed);
                }));
    std::string snapshot;
    costs.point("snapshot_us", microseconds(9, [&] { snapshot = state.snapshot().dump(); }));
    costs.point("snapshot_bytes", {static_cast<double>(snapshot.size())});
    costs.point("entry_bytes",
                {static_cast<double>(compliance::encode_entry(certificate(certificates - 1)).size())});
  }
  costs.print_fits(certificates_most);
}

TEST_CASE("entries of heartbeats grow linearly", "[scale-short]") {
  const auto bytes = [](std::size_t members, bool views) {
    return static_cast<double>(maintenance::encode_entry(heartbeats_of(members, views, 0)).size());
  };
  for (const bool views : {false, true}) {
    const double one = (bytes(400, views) - bytes(200, views)) / 200;
    CHECK(one > 40);
    CHECK(one < (views ? 200 : 80));
    CHECK(bytes(800, views) == Approx(bytes(400, views) + 400 * one).epsilon(0.02));
  }
  const MaintenanceState few = state_with_members(100), many = state_with_members(400);
  const double ratio =
      static_cast<double>(many.snapshot().dump().size()) / static_cast<double>(few.snapshot().dump().size());
  CHECK(ratio == Approx(4).epsilon(0.05));
}

}  // namespace
}  // namespace lotusyard::scale
