// Members of a group under a wall clock that is set: certificates, lives and what the log tells of the clock.
#include <catch2/catch.hpp>
#include <string>

#include "compliance/compliance_filter.h"
#include "compliance/log_entry_codec.h"
#include "maintenance/log_entry_codec.h"
#include "maintenance/maintenance_replica.h"
#include "net/socket.h"
#include "raft/raft_replica.h"
#include "support/invoker_fixture.h"
#include "support/test_settings.h"
#include "wall_clock/stepped_clock.h"

namespace lotusyard::test {
namespace {

using nlohmann::json;

void ignore(const std::string&) {}

// The parts of an invoker that members' parts are wired to.
struct Wired {
  InvokerFixture fixture;
  core::Settings s = settings();
  endpoints::EndpointStates membership{[](const core::HostListUpdate&, core::ListKind) {}};
  InvokerServices wiring{fixture.loop,
                         fixture.counters,
                         membership,
                         fixture.host_pool,
                         [this]() -> const core::Settings& { return s; },
                         [](double) {},
                         "a"};
  explicit Wired(net::Clocks clocks) : fixture(1, settings(), InvokerFixture::limits(), std::move(clocks)) {
    core::ListedHost member;
    member.entry.host = "h0";
    membership.apply_list({true, {member}}, core::ListKind::full);
  }
};

// One host, certified for a time, and whether a regulated tenant's calls may go there.
struct Certified {
  SteppedClock clock;
  Wired wired;
  compliance::CertificateState book;
  compliance::ComplianceFilter enforcer{wired.wiring, book, [] { return true; }, &ignore};
  Certified(Millis at_start, Millis from, Millis until) : clock{at_start}, wired(clock.clocks()) {
    say(1, {{"t", "regime"}, {"regime", {{"name", "export"}}}});
    say(2, {{"t", "tenant"}, {"tenant", "mill"}, {"regimes", {"export"}}});
    say(3, {{"t", "certify"},
            {"certificate",
             {{"name", "c"},
              {"host", "h0"},
              {"regime", "export"},
              {"from_ms", std::round(from.count())},
              {"until_ms", std::round(until.count())},
              {"outlives_start", true}}}});
  }
  void say(std::uint64_t index, const json& entry) {
    REQUIRE(book.apply(index, compliance::parse_entry(entry)).done);
  }
  bool may() { return enforcer.check("mill", "h0").allowed; }
};

constexpr Millis kMinute{60e3};

TEST_CASE("a certificate holds only if it does by the wall clock before and after its step") {
  const Millis now = net::Clocks::system().wall();
  const Millis step = GENERATE(Millis(kHour), -1 * kHour);
  Certified expiring(Millis(0), now - 24 * kHour, now + 30 * kMinute);
  Certified expired(Millis(0), now - 24 * kHour, now - 30 * kMinute);
  Certified issued(Millis(0), now - 30 * kMinute, now + 24 * kHour);
  Certified standing(Millis(0), now - 24 * kHour, now + 24 * kHour);
  CHECK((expiring.may() && !expired.may() && issued.may() && standing.may()));
  for (auto* c : {&expiring, &expired, &issued, &standing})
    c->clock.step = step;
  CHECK(expiring.may() == (step < Millis(0)));
  CHECK_FALSE(expired.may());
  CHECK(issued.may() == (step > Millis(0)));
  CHECK(standing.may());
}

TEST_CASE("a certificate that expired for an earlier process does not stand again under a clock set back") {
  const Millis now = net::Clocks::system().wall();
  Certified restarted(-1 * kHour, now - 24 * kHour, now - 30 * kMinute);
  restarted.wired.fixture.loop.record_wall_time(now);
  CHECK_FALSE(restarted.may());
}

// A group of one member, whose store can outlive it or be lost.
struct LoneMember {
  SteppedClock clock;
  Wired wired;
  raft::Config config;
  raft::Lease lease;
  maintenance::MaintenanceReplica coordinator;
  raft::RaftReplica member;

  static raft::Config founded(const ScratchFile& file) {
    raft::Config out;
    const net::Socket free = net::listen_on("127.0.0.1:0");
    out.cluster = "yard";
    out.member = "a";
    out.store = file.path;
    out.listen = out.address = net::bound_address(free);
    out.members = {{"a", out.address, true}};
    out.election_timeout = Millis(50);
    out.terms.lease = Millis(400);
    raft::RaftReplica::bootstrap(out);
    return out;
  }
  explicit LoneMember(const raft::Config& c, Millis at_start = Millis(0))
      : clock{at_start},
        wired(clock.clocks()),
        config(c),
        lease(config.terms, wired.fixture.loop.now()),
        coordinator(wired.wiring, config, lease, &ignore),
        member(wired.fixture.loop, wired.fixture.counters, config, {&coordinator}, &ignore) {
    coordinator.attach(member);
  }
  template <typename Until>
  bool soon(const Until& until) {
    const Millis end = wired.fixture.loop.now() + Millis(8000);
    while (!until() && wired.fixture.loop.now() < end)
      wired.fixture.loop.run_once(wired.fixture.loop.now() + Millis(5), [] {});
    return until();
  }
  bool leased() {
    return soon([&] { return coordinator.is_leased(); });
  }
};

TEST_CASE("a member's lease comes and goes on through steps of the wall clock, and between two processes") {
  ScratchFile file("lease");
  const auto config = LoneMember::founded(file);
  const Millis step = GENERATE(Millis(kHour), -1 * kHour);
  {
    LoneMember first(config);
    REQUIRE(first.leased());
    first.clock.step = step;
    const std::uint64_t index = first.coordinator.state().index();
    REQUIRE(first.soon([&] { return first.coordinator.state().index() > index + 3; }));
    CHECK(first.coordinator.is_leased());
  }
  LoneMember second(config, step);
  CHECK_FALSE(
      second.coordinator.is_leased());  // the first one's lease is not this one's, whatever its stamps say
  CHECK(second.leased());
}

TEST_CASE("a member that lost its store under a clock set back is let in with a life past its earlier one") {
  ScratchFile file("life");
  LoneMember lone(LoneMember::founded(file));
  REQUIRE(lone.soon([&] { return lone.member.is_leader(); }));
  // As the log would hold it: the earlier life was taken from a clock that was ahead.
  maintenance::Join join;
  join.member = "a";
  join.incarnation = static_cast<std::uint64_t>((lone.clock.wall() + kHour).count());
  REQUIRE(lone.member.propose(lone.coordinator, maintenance::encode_entry({join, {}, {}})));
  CHECK(lone.leased());
  CHECK(lone.member.incarnation() > join.incarnation);
}

TEST_CASE("the log tells a member that its clock was set back between two processes") {
  ScratchFile file("told");
  const auto config = LoneMember::founded(file);
  {
    LoneMember first(config);
    REQUIRE(first.leased());
  }
  LoneMember second(config, -1 * kHour);
  REQUIRE(second.leased());
  const auto wall = second.wired.fixture.loop.wall_time();
  CHECK(wall.latest - wall.current > kHour - kMinute);
}

}  // namespace
}  // namespace lotusyard::test
