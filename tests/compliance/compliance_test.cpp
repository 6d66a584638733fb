// The replicated compliance state: which hosts may serve which tenants, revocations, and the validation of
// entries.
#include "catch2/catch.hpp"
#include "compliance/certificate_state.h"
#include "compliance/log_entry_codec.h"
#include "support/fault_injection.h"

namespace lotusyard::test {
namespace {

using compliance::CertificateState;
using compliance::Millis;
using nlohmann::json;

struct ComplianceFixture {
  CertificateState state;
  std::uint64_t index = 0;
  CertificateState::ProposalOutcome apply(const json& entry) {
    return state.apply(++index, compliance::parse_entry(entry));
  }
  std::string check(const std::string& tenant, const std::string& host, double now = 5000,
                    bool is_leased = true, double host_incarnation = 10,
                    const std::string& zone = "east") const {
    const auto result =
        state.check(tenant, {host, zone, host_incarnation}, is_leased, Millis(now), Millis(100));
    return result.allowed ? "yes" : result.reason;
  }
  ComplianceFixture() {
    apply({{"t", "regime"}, {"regime", {{"name", "export"}}}});
    apply({{"t", "regime"}, {"regime", {{"name", "excise"}, {"zone", "east"}, {"exclusive", true}}}});
    apply({{"t", "tenant"}, {"tenant", "mill"}, {"regimes", {"export"}}});
    apply({{"t", "tenant"}, {"tenant", "still"}, {"regimes", {"export", "excise"}}});
    apply({{"t", "tenant"}, {"tenant", "free"}, {"regimes", json::array()}});
    certify("c1", "h1", "export");
    certify("c2", "h2", "export");
    certify("c3", "h2", "excise");
  }
  CertificateState::ProposalOutcome certify(const std::string& name, const std::string& host,
                                            const std::string& regime, double from = 1000,
                                            double until = 9000, bool survives_restart = false) {
    return apply({{"t", "certify"},
                  {"certificate",
                   {{"name", name},
                    {"host", host},
                    {"regime", regime},
                    {"from_ms", from},
                    {"until_ms", until},
                    {"host_life", 10},
                    {"outlives_start", survives_restart}}}});
  }
};

TEST_CASE("without regimes every host may serve every call") {
  const CertificateState state;
  CHECK(state.check("anyone", {"h", "", 0}, false, Millis(0), Millis(1000)).allowed);
}

TEST_CASE("a regulated call needs a host certified for all its regimes; an unknown tenant gets no host") {
  ComplianceFixture fixture;
  CHECK(fixture.check("mill", "h1") == "yes");
  CHECK(fixture.check("mill", "h3") == "not_certified");
  CHECK(fixture.check("still", "h1") == "not_certified");
  CHECK(fixture.check("still", "h2") == "yes");
  CHECK(fixture.check("still", "h2", 5000, true, 10, "west") == "zone");
  CHECK(fixture.check("free", "h3") == "yes");
  CHECK(fixture.check("nobody", "h1") == "regime_unknown");
  CHECK(fixture.state.is_regulated("nobody"));
}

TEST_CASE("a host of an exclusive regime serves no other tenant") {
  ComplianceFixture fixture;
  CHECK(fixture.check("free", "h2") == "exclusive");
  CHECK(fixture.check("mill", "h2") == "exclusive");
  CHECK(fixture.check("free", "h1") == "yes");
}

TEST_CASE("a certificate is valid only if it is by every clock within the error bound") {
  ComplianceFixture fixture;
  CHECK(fixture.check("mill", "h1", 1050) == "not_certified");
  CHECK(fixture.check("mill", "h1", 1100) == "yes");
  CHECK(fixture.check("mill", "h1", 8899) == "yes");
  CHECK(fixture.check("mill", "h1", 8900) == "not_certified");
  REQUIRE(fixture.certify("c4", "h1", "export", 8000, 20000).done);  // renewed before expiry: the two overlap
  CHECK(fixture.check("mill", "h1", 8950) == "yes");
}

TEST_CASE("a member without a lease sends no regulated call; the check detects one that does") {
  ComplianceFixture fixture;
  CHECK(fixture.check("mill", "h1", 5000, false) == "not_known");
  CHECK(fixture.check("free", "h1", 5000, false) == "yes");
  FaultInjection::Scope fault("compliance-lease");
  CHECK(fixture.check("mill", "h1", 5000, false) == "yes");
}

TEST_CASE("a restarted host keeps its certificate only if that survives restarts; a violation is detected") {
  ComplianceFixture fixture;
  CHECK(fixture.check("mill", "h1", 5000, true, 20) == "not_certified");
  fixture.certify("c5", "h1", "export", 1000, 9000, true);
  CHECK(fixture.check("mill", "h1", 5000, true, 20) == "yes");
  ComplianceFixture other;
  FaultInjection::Scope fault("certificate-life");
  CHECK(other.check("mill", "h1", 5000, true, 20) == "yes");
}

TEST_CASE("a revocation takes effect at once, ends once, and its name cannot be reused") {
  ComplianceFixture fixture;
  REQUIRE(fixture.apply({{"t", "revoke"}, {"name", "c1"}, {"id", "r"}}).done);
  const std::uint64_t revoked_at = fixture.index;
  CHECK(fixture.check("mill", "h1") == "not_certified");
  // The proposal is repeated, as after a lost response.
  CHECK(fixture.apply({{"t", "revoke"}, {"name", "c1"}, {"id", "r"}}).index == revoked_at);
  CHECK_FALSE(fixture.apply({{"t", "revoke"}, {"name", "c1"}}).done);
  CHECK_FALSE(fixture.apply({{"t", "ended"}, {"name", "c1"}, {"round", revoked_at - 1}}).done);
  REQUIRE(fixture.apply({{"t", "told"}, {"name", "c1"}, {"member", "a"}, {"life", 3}, {"round", revoked_at}})
              .done);
  CHECK(fixture.state.has_acknowledged("c1", "a", 3));
  CHECK_FALSE(fixture.state.has_acknowledged("c1", "a", 4));
  CertificateState restored;
  REQUIRE(restored.restore(fixture.state.snapshot()));
  CHECK(restored.snapshot() == fixture.state.snapshot());
  REQUIRE(fixture.apply({{"t", "ended"}, {"name", "c1"}, {"round", revoked_at}}).done);
  CHECK_FALSE(fixture.certify("c1", "h1", "export").done);
  CHECK_FALSE(fixture.apply({{"t", "revoke"}, {"name", "none"}}).done);
}

TEST_CASE("a malformed entry is rejected as a whole, with the key at fault") {
  const auto parse_error = [](const json& entry) {
    try {
      compliance::parse_entry(entry);
      return std::string("taken");
    } catch (const std::exception& error) {
      return std::string(error.what());
    }
  };
  json valid = {
      {"t", "certify"},
      {"certificate", {{"name", "c"}, {"host", "h"}, {"regime", "r"}, {"from_ms", 2}, {"until_ms", 3}}}};
  CHECK(parse_error(valid) == "taken");
  json expired = valid;
  expired["certificate"]["until_ms"] = 1;
  CHECK(parse_error(expired) == "until_ms: expires before it is issued");
  json unknown_key = valid;
  unknown_key["certificate"]["colour"] = 1;
  CHECK(parse_error(unknown_key) == "certificate.colour: no such key");
  CHECK(parse_error({{"t", "certify"}}) == "certificate: an object is needed");
  CHECK(parse_error({{"t", "regime"}, {"regime", {{"name", ""}}}}) == "name: 1 to 128 bytes are needed");
  CHECK(parse_error({{"t", "tenant"}, {"tenant", "a"}, {"regimes", "x"}}) == "regimes: an array is needed");
  CHECK(parse_error({{"t", "never"}}) == "t: no entry is called never");
  CHECK(parse_error(json::array()) == "entry: an object is needed");
  ComplianceFixture fixture;
  CHECK(fixture.apply({{"t", "tenant"}, {"tenant", "x"}, {"regimes", {"none"}}}).why ==
        "regimes: no regime none");
  CertificateState state;
  CHECK_FALSE(state.restore({{"index", 1}}));
}

TEST_CASE("an encoded entry keeps the valid fields that its command does not use, and rejects invalid ones") {
  const json revoke = {{"t", "revoke"}, {"name", "c1"}, {"id", "r"},
                       {"member", "a"}, {"life", 3},    {"round", 9}};
  CHECK(json::parse(compliance::encode_entry(compliance::parse_entry(revoke))) == revoke);
  json regime = {
      {"t", "regime"}, {"regime", {{"name", "r"}, {"zone", ""}, {"exclusive", false}}}, {"name", "x"}};
  CHECK(json::parse(compliance::encode_entry(compliance::parse_entry(regime))) == regime);
  regime["life"] = -1;
  CHECK_THROWS_WITH(compliance::parse_entry(regime), "life: a whole number is needed");
}

}  // namespace
}  // namespace lotusyard::test
