// What the agreed state costs against members, hosts and certificates: bytes of entries and snapshots, and
// processor time to word, read, apply, snapshot and restore. By name: lotusyard_scale_tests "[hollow-log]".
#include <catch2/catch.hpp>

#include "maintenance/log_entry_codec.h"
#include "scale/point.h"
#include "scale/tier.h"

namespace lotusyard::scale {
namespace {

constexpr std::uint64_t kLife = 1764650000000;  // as that of a member that joined later
constexpr double kMicroseconds = 1e6;
const gossip::Millis kNow{1.7e12};

std::string member_name(std::size_t i) { return "m" + std::to_string(i); }
std::string host_name(std::size_t i) { return "h" + std::to_string(i); }

// A sign of life of every member at rest; with its view of `hosts` hosts of an open work, if `views`.
BoardEntry beats_of(std::size_t members, bool views, std::size_t hosts) {
  maintenance::RecordHeartbeats out;
  for (std::size_t i = 0; i < members; ++i) {
    Beat beat{member_name(i), kLife, kNow.count() + 0.123 * static_cast<double>(i), 123456, {}, std::nullopt};
    if (views) {
      beat.observations.emplace();
      beat.observations->listed_hosts = static_cast<int>(std::max<std::size_t>(hosts, 12));
      for (std::size_t h = 0; h < hosts; ++h)
        beat.observations->serving_value[host_name(h)] = 1.25;
    }
    out.heartbeats.push_back(std::move(beat));
  }
  return {std::move(out), "{}", {}};
}

MaintenanceState board_of(std::size_t members) {
  MaintenanceState out;
  std::uint64_t index = 0;
  for (std::size_t i = 0; i < members; ++i) {
    maintenance::Join join;
    join.member = member_name(i);
    join.incarnation = kLife;
    out.apply(++index, {join, {}, {}}, kNow);
  }
  return out;
}

struct Costs {
  std::string test;
  std::string against;
  std::map<std::string, double> given;
  std::map<std::string, Series> series;
  double at = 0;  // of what grows
  std::size_t members = 0;

  void point(const std::string& metric, const std::vector<double>& values) {
    series[metric].add(at, print({test, members, "member", metric, 0, given}, values));
  }
  // Whether the program takes what was measured; no slope is fitted through it.
  void status(const std::string& metric, bool holds) const {
    print({test, members, "member", metric, 0, given}, {holds ? 1.0 : 0.0});
  }
  void fits(double target) const {
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

// One entry of signs of life through its whole course, and the board's snapshot.
void measure_board(Costs& costs, std::size_t members, bool views, std::size_t hosts) {
  const int times = members > 3000 ? 5 : 9;
  const BoardEntry entry = beats_of(members, views, hosts);
  std::string wording;
  costs.point("word_us", microseconds(times, [&] { wording = maintenance::encode_entry(entry); }));
  costs.point("entry_bytes", {static_cast<double>(wording.size())});
  std::optional<BoardEntry> read;
  const auto reading = microseconds(times, [&] { read = maintenance::parse_entry(wording); });
  costs.status("read_back", read.has_value());  // if not, the program stands aside for good
  if (read)
    costs.point("read_us", reading);

  const double before = allocated_bytes();
  MaintenanceState board = board_of(members);
  std::uint64_t index = members;
  costs.point("apply_us", microseconds(times, [&] { board.apply(++index, entry, kNow); }));
  costs.point("state_bytes", {allocated_bytes() - before});
  std::string snapshot;
  costs.point("snapshot_us", microseconds(times, [&] { snapshot = board.snapshot().dump(); }));
  costs.point("snapshot_bytes", {static_cast<double>(snapshot.size())});
  MaintenanceState restored;
  const auto restore = [&] { REQUIRE(restored.restore(nlohmann::json::parse(snapshot), kNow)); };
  costs.point("restore_us", microseconds(times, restore));
}

TEST_CASE("the board, by members", "[.][scale][hollow-log]") {
  for (const bool views : {false, true}) {
    Costs costs{views ? "board_with_views" : "board_without_views", "members", {}, {}, 0, 0};
    for (const std::size_t members : {100, 300, 1000, 3000, 10000, 16000}) {
      costs.at = static_cast<double>(costs.members = members);
      measure_board(costs, members, views, 0);
    }
    costs.fits(kTargetMembers);
  }
}

TEST_CASE("the board, by hosts of an open work", "[.][scale][hollow-log]") {
  constexpr double hosts_at_target = 1000;
  Costs costs{"board_by_hosts", "hosts", {}, {}, 0, 100};
  for (const std::size_t hosts : {12, 120, 300, 1000}) {
    costs.at = costs.given["hosts"] = static_cast<double>(hosts);
    measure_board(costs, costs.members, true, hosts);
  }
  costs.fits(hosts_at_target);
}

// How many members' signs of life fit into one entry that the program reads back.
TEST_CASE("the most members that one entry holds", "[.][scale][hollow-log]") {
  for (const bool views : {false, true}) {
    std::size_t fits = 1, too_many = 16000;
    while (too_many - fits > 1) {
      const std::size_t middle = (fits + too_many) / 2;
      const bool read =
          maintenance::parse_entry(maintenance::encode_entry(beats_of(middle, views, 0))).has_value();
      (read ? fits : too_many) = middle;
    }
    print({"board_limit", fits, "member", views ? "members_with_views" : "members_without_views", 0, {}},
          {static_cast<double>(fits)});
  }
}

TEST_CASE("the shares, by members", "[.][scale][hollow-log]") {
  Costs costs{"epochs", "members", {}, {}, 0, 0};
  for (const std::size_t members : {100, 300, 1000, 3000, 10000, 16000}) {
    costs.at = static_cast<double>(costs.members = members);
    quota::BeginEpoch part;
    for (std::size_t i = 0; i < members; ++i)
      part.holders.emplace(member_name(i), kLife);
    std::string wording;
    costs.point("word_us", microseconds(9, [&] { wording = quota::encode_entry(part); }));
    costs.point("entry_bytes", {static_cast<double>(wording.size())});
    costs.point("read_us", microseconds(9, [&] { REQUIRE(quota::parse_entry(wording)); }));
    Epochs epochs;
    const bool taken = epochs.apply(1, part);
    costs.status("taken", taken);  // more than 1,024 sharers are not
    if (taken)
      costs.point("snapshot_bytes", {static_cast<double>(epochs.snapshot().dump().size())});
  }
  costs.fits(kTargetMembers);
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

TEST_CASE("the book, by certificates", "[.][scale][hollow-log]") {
  constexpr double certificates_most = 4096;
  Costs costs{"book", "certificates", {}, {}, 0, 0};
  for (const std::size_t certificates : {10, 100, 1000, 4000}) {
    costs.at = costs.given["certificates"] = static_cast<double>(certificates);
    const double before = allocated_bytes();
    CertificateState book;
    REQUIRE(book.apply(1, {compliance::PutRegime{{"r", "", false}}}).done);
    REQUIRE(book.apply(2, {compliance::PutTenant{"t", {"r"}}}).done);
    for (std::size_t i = 0; i < certificates; ++i)
      REQUIRE(book.apply(3 + i, certificate(i)).done);
    costs.point("state_bytes", {allocated_bytes() - before});
    const compliance::HostLocation last{host_name(certificates - 1), "", 0};
    costs.point("may_us", microseconds(9, [&] {
                  REQUIRE(book.check("t", last, true, kNow, gossip::Millis(1000)).allowed);
                }));
    std::string snapshot;
    costs.point("snapshot_us", microseconds(9, [&] { snapshot = book.snapshot().dump(); }));
    costs.point("snapshot_bytes", {static_cast<double>(snapshot.size())});
    costs.point("entry_bytes",
                {static_cast<double>(compliance::encode_entry(certificate(certificates - 1)).size())});
  }
  costs.fits(certificates_most);
}

TEST_CASE("entries of signs of life grow linearly", "[scale-short]") {
  const auto bytes = [](std::size_t members, bool views) {
    return static_cast<double>(maintenance::encode_entry(beats_of(members, views, 0)).size());
  };
  for (const bool views : {false, true}) {
    const double one = (bytes(400, views) - bytes(200, views)) / 200;
    CHECK(one > 40);
    CHECK(one < (views ? 200 : 80));
    CHECK(bytes(800, views) == Approx(bytes(400, views) + 400 * one).epsilon(0.02));
  }
  const MaintenanceState few = board_of(100), many = board_of(400);
  const double ratio =
      static_cast<double>(many.snapshot().dump().size()) / static_cast<double>(few.snapshot().dump().size());
  CHECK(ratio == Approx(4).epsilon(0.05));
}

}  // namespace
}  // namespace lotusyard::scale
