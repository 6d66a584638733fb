// Regulated tenants and certified hosts in their pure form: what the book says, when, and what it takes.
#include "catch2/catch.hpp"
#include "compliance/certificate_state.h"
#include "compliance/log_entry_codec.h"
#include "support/fault_injection.h"

namespace lotusyard::test {
namespace {

using compliance::CertificateState;
using compliance::Millis;
using nlohmann::json;

struct Desk {
  CertificateState book;
  std::uint64_t index = 0;
  CertificateState::ProposalOutcome say(const json& what) {
    return book.apply(++index, compliance::parse_entry(what));
  }
  std::string may(const std::string& tenant, const std::string& host, double now = 5000, bool knows = true,
                  double life = 10, const std::string& zone = "east") const {
    const auto status = book.check(tenant, {host, zone, life}, knows, Millis(now), Millis(100));
    return status.allowed ? "yes" : status.reason;
  }
  Desk() {
    say({{"t", "regime"}, {"regime", {{"name", "export"}}}});
    say({{"t", "regime"}, {"regime", {{"name", "excise"}, {"zone", "east"}, {"exclusive", true}}}});
    say({{"t", "tenant"}, {"tenant", "mill"}, {"regimes", {"export"}}});
    say({{"t", "tenant"}, {"tenant", "still"}, {"regimes", {"export", "excise"}}});
    say({{"t", "tenant"}, {"tenant", "free"}, {"regimes", json::array()}});
    certify("c1", "h1", "export");
    certify("c2", "h2", "export");
    certify("c3", "h2", "excise");
  }
  CertificateState::ProposalOutcome certify(const std::string& name, const std::string& host,
                                            const std::string& regime, double from = 1000,
                                            double until = 9000, bool outlives = false) {
    return say({{"t", "certify"},
                {"certificate",
                 {{"name", name},
                  {"host", host},
                  {"regime", regime},
                  {"from_ms", from},
                  {"until_ms", until},
                  {"host_life", 10},
                  {"outlives_start", outlives}}}});
  }
};

TEST_CASE("with nothing agreed every host may have every call") {
  const CertificateState book;
  CHECK(book.check("anyone", {"h", "", 0}, false, Millis(0), Millis(1000)).allowed);
}

TEST_CASE(
    "a regulated call goes only where all of its regimes are certified, and an unknown tenant nowhere") {
  Desk d;
  CHECK(d.may("mill", "h1") == "yes");
  CHECK(d.may("mill", "h3") == "not_certified");
  CHECK(d.may("still", "h1") == "not_certified");
  CHECK(d.may("still", "h2") == "yes");
  CHECK(d.may("still", "h2", 5000, true, 10, "west") == "zone");
  CHECK(d.may("free", "h3") == "yes");
  CHECK(d.may("nobody", "h1") == "regime_unknown");
  CHECK(d.book.is_regulated("nobody"));
}

TEST_CASE("a host of an exclusive regime serves nobody else") {
  Desk d;
  CHECK(d.may("free", "h2") == "exclusive");
  CHECK(d.may("mill", "h2") == "exclusive");
  CHECK(d.may("free", "h1") == "yes");
}

TEST_CASE("expiry and issue are judged to the safe side by the clocks' bound") {
  Desk d;
  CHECK(d.may("mill", "h1", 1050) == "not_certified");
  CHECK(d.may("mill", "h1", 1100) == "yes");
  CHECK(d.may("mill", "h1", 8899) == "yes");
  CHECK(d.may("mill", "h1", 8900) == "not_certified");
  REQUIRE(d.certify("c4", "h1", "export", 8000, 20000).done);  // renewed before expiry: they overlap
  CHECK(d.may("mill", "h1", 8950) == "yes");
}

TEST_CASE("a member that cannot know sends nothing regulated, and one that does is found") {
  Desk d;
  CHECK(d.may("mill", "h1", 5000, false) == "not_known");
  CHECK(d.may("free", "h1", 5000, false) == "yes");
  FaultInjection::Scope broken("compliance-lease");
  CHECK(d.may("mill", "h1", 5000, false) == "yes");
}

TEST_CASE(
    "a host that started anew keeps its certificate only if that says so, and another reading is found") {
  Desk d;
  CHECK(d.may("mill", "h1", 5000, true, 20) == "not_certified");
  d.certify("c5", "h1", "export", 1000, 9000, true);
  CHECK(d.may("mill", "h1", 5000, true, 20) == "yes");
  Desk other;
  FaultInjection::Scope broken("certificate-life");
  CHECK(other.may("mill", "h1", 5000, true, 20) == "yes");
}

TEST_CASE("a revocation holds at once, ends once, and its name does not stand again") {
  Desk d;
  REQUIRE(d.say({{"t", "revoke"}, {"name", "c1"}, {"id", "r"}}).done);
  const std::uint64_t round = d.index;
  CHECK(d.may("mill", "h1") == "not_certified");
  CHECK(d.say({{"t", "revoke"}, {"name", "c1"}, {"id", "r"}}).index == round);  // its answer was lost
  CHECK_FALSE(d.say({{"t", "revoke"}, {"name", "c1"}}).done);
  CHECK_FALSE(d.say({{"t", "ended"}, {"name", "c1"}, {"round", round - 1}}).done);
  REQUIRE(d.say({{"t", "told"}, {"name", "c1"}, {"member", "a"}, {"life", 3}, {"round", round}}).done);
  CHECK(d.book.has_acknowledged("c1", "a", 3));
  CHECK_FALSE(d.book.has_acknowledged("c1", "a", 4));
  CertificateState read;
  REQUIRE(read.restore(d.book.snapshot()));
  CHECK(read.snapshot() == d.book.snapshot());
  REQUIRE(d.say({{"t", "ended"}, {"name", "c1"}, {"round", round}}).done);
  CHECK_FALSE(d.certify("c1", "h1", "export").done);
  CHECK_FALSE(d.say({{"t", "revoke"}, {"name", "none"}}).done);
}

TEST_CASE("what operators word wrongly is refused whole, with the key named") {
  const auto fault = [](const json& what) {
    try {
      compliance::parse_entry(what);
      return std::string("taken");
    } catch (const std::exception& f) {
      return std::string(f.what());
    }
  };
  json good = {
      {"t", "certify"},
      {"certificate", {{"name", "c"}, {"host", "h"}, {"regime", "r"}, {"from_ms", 2}, {"until_ms", 3}}}};
  CHECK(fault(good) == "taken");
  json early = good;
  early["certificate"]["until_ms"] = 1;
  CHECK(fault(early) == "until_ms: expires before it is issued");
  json odd = good;
  odd["certificate"]["colour"] = 1;
  CHECK(fault(odd) == "certificate.colour: no such key");
  CHECK(fault({{"t", "certify"}}) == "certificate: an object is needed");
  CHECK(fault({{"t", "regime"}, {"regime", {{"name", ""}}}}) == "name: 1 to 128 bytes are needed");
  CHECK(fault({{"t", "tenant"}, {"tenant", "a"}, {"regimes", "x"}}) == "regimes: an array is needed");
  CHECK(fault({{"t", "never"}}) == "t: no entry is called never");
  CHECK(fault(json::array()) == "entry: an object is needed");
  Desk d;
  CHECK(d.say({{"t", "tenant"}, {"tenant", "x"}, {"regimes", {"none"}}}).why == "regimes: no regime none");
  CertificateState book;
  CHECK_FALSE(book.restore({{"index", 1}}));
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
