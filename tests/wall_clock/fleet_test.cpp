// Members of a replica group under a stepped wall clock: certificates, incarnations, and clock steps that
// show in the log.
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

// The services of an invoker that the replicas under test use.
struct ReplicaServices {
  InvokerFixture fixture;
  core::Settings s = settings();
  endpoints::EndpointStates membership{[](const core::HostListUpdate&, core::ListKind) {}};
  InvokerServices invoker_services{fixture.loop,
                                   fixture.counters,
                                   membership,
                                   fixture.host_pool,
                                   [this]() -> const core::Settings& { return s; },
                                   [](double) {},
                                   "a"};
  explicit ReplicaServices(net::Clocks clocks)
      : fixture(1, settings(), InvokerFixture::limits(), std::move(clocks)) {
    core::ListedHost member;
    member.entry.host = "h0";
    membership.apply_list({true, {member}}, core::ListKind::full);
  }
};

// One host, certified for an interval, and the check whether a regulated tenant's calls may be sent there.
struct CertificateFixture {
  SteppedClock clock;
  ReplicaServices services;
  compliance::CertificateState certificates;
  compliance::ComplianceFilter filter{services.invoker_services, certificates, [] { return true; }, &ignore};
  CertificateFixture(Millis at_start, Millis from, Millis until) : clock{at_start}, services(clock.clocks()) {
    apply(1, {{"t", "regime"}, {"regime", {{"name", "export"}}}});
    apply(2, {{"t", "tenant"}, {"tenant", "mill"}, {"regimes", {"export"}}});
    apply(3, {{"t", "certify"},
              {"certificate",
               {{"name", "c"},
                {"host", "h0"},
                {"regime", "export"},
                {"from_ms", std::round(from.count())},
                {"until_ms", std::round(until.count())},
                {"outlives_start", true}}}});
  }
  void apply(std::uint64_t index, const json& entry) {
    REQUIRE(certificates.apply(index, compliance::parse_entry(entry)).done);
  }
  bool allowed() { return filter.check("mill", "h0").allowed; }
};

constexpr Millis kMinute{60e3};

TEST_CASE("a certificate is valid only if it is valid by the wall clock before and after a step") {
  const Millis now = net::Clocks::system().wall();
  const Millis step = GENERATE(Millis(kHour), -1 * kHour);
  CertificateFixture expiring(Millis(0), now - 24 * kHour, now + 30 * kMinute);
  CertificateFixture expired(Millis(0), now - 24 * kHour, now - 30 * kMinute);
  CertificateFixture issued(Millis(0), now - 30 * kMinute, now + 24 * kHour);
  CertificateFixture unaffected(Millis(0), now - 24 * kHour, now + 24 * kHour);
  CHECK((expiring.allowed() && !expired.allowed() && issued.allowed() && unaffected.allowed()));
  for (auto* c : {&expiring, &expired, &issued, &unaffected})
    c->clock.step = step;
  CHECK(expiring.allowed() == (step < Millis(0)));
  CHECK_FALSE(expired.allowed());
  CHECK(issued.allowed() == (step > Millis(0)));
  CHECK(unaffected.allowed());
}

TEST_CASE("a certificate that expired in an earlier process is not valid again under a clock set back") {
  const Millis now = net::Clocks::system().wall();
  CertificateFixture restarted(-1 * kHour, now - 24 * kHour, now - 30 * kMinute);
  restarted.services.fixture.loop.record_wall_time(now);
  CHECK_FALSE(restarted.allowed());
}

// A replica group of one member, whose store can outlive the process or be lost.
struct SingleMember {
  SteppedClock clock;
  ReplicaServices services;
  raft::Config config;
  raft::Lease lease;
  maintenance::MaintenanceReplica coordinator;
  raft::RaftReplica member;

  static raft::Config bootstrapped(const ScratchFile& file) {
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
  explicit SingleMember(const raft::Config& c, Millis at_start = Millis(0))
      : clock{at_start},
        services(clock.clocks()),
        config(c),
        lease(config.terms, services.fixture.loop.now()),
        coordinator(services.invoker_services, config, lease, &ignore),
        member(services.fixture.loop, services.fixture.counters, config, {&coordinator}, &ignore) {
    coordinator.attach(member);
  }
  template <typename Until>
  bool run_until(const Until& until) {
    const Millis end = services.fixture.loop.now() + Millis(8000);
    while (!until() && services.fixture.loop.now() < end)
      services.fixture.loop.run_once(services.fixture.loop.now() + Millis(5), [] {});
    return until();
  }
  bool wait_for_lease() {
    return run_until([&] { return coordinator.is_leased(); });
  }
};

TEST_CASE("a member gets and renews its lease over steps of the wall clock, also between two processes") {
  ScratchFile file("lease");
  const auto config = SingleMember::bootstrapped(file);
  const Millis step = GENERATE(Millis(kHour), -1 * kHour);
  {
    SingleMember first(config);
    REQUIRE(first.wait_for_lease());
    first.clock.step = step;
    const std::uint64_t index = first.coordinator.state().index();
    REQUIRE(first.run_until([&] { return first.coordinator.state().index() > index + 3; }));
    CHECK(first.coordinator.is_leased());
  }
  SingleMember second(config, step);
  CHECK_FALSE(
      second.coordinator.is_leased());  // the first process's lease does not carry over, whatever its stamps
  CHECK(second.wait_for_lease());
}

TEST_CASE("a member that lost its store under a clock set back is admitted with a higher incarnation") {
  ScratchFile file("incarnation");
  SingleMember single(SingleMember::bootstrapped(file));
  REQUIRE(single.run_until([&] { return single.member.is_leader(); }));
  // The log's record of an earlier incarnation, derived from a clock that was ahead.
  maintenance::Join join;
  join.member = "a";
  join.incarnation = static_cast<std::uint64_t>((single.clock.wall() + kHour).count());
  REQUIRE(single.member.propose(single.coordinator, maintenance::encode_entry({join, {}, {}})));
  CHECK(single.wait_for_lease());
  CHECK(single.member.incarnation() > join.incarnation);
}

TEST_CASE("a member learns from the log that its clock was set back between two processes") {
  ScratchFile file("set-back");
  const auto config = SingleMember::bootstrapped(file);
  {
    SingleMember first(config);
    REQUIRE(first.wait_for_lease());
  }
  SingleMember second(config, -1 * kHour);
  REQUIRE(second.wait_for_lease());
  const auto wall = second.services.fixture.loop.wall_time();
  CHECK(wall.latest - wall.current > kHour - kMinute);
}

}  // namespace
}  // namespace lotusyard::test
