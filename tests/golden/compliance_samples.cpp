#include "maintenance_samples.h"

namespace lotusyard::golden {
namespace {

using compliance::Certificate;
using compliance::Entry;
using compliance::Millis;
using Kind = Entry::Kind;

Entry entry(Kind kind, const std::string& proposal) {
  Entry out;
  out.kind = kind;
  out.proposal = proposal;
  return out;
}

Entry regime(const std::string& name, const std::string& zone, bool exclusive) {
  Entry out = entry(Kind::regime, "proposal-" + name);
  out.regime = {name, zone, exclusive};
  return out;
}

Entry tenant(const std::string& name, const std::set<std::string>& regimes) {
  Entry out = entry(Kind::tenant, "proposal-" + name);
  out.tenant = name;
  out.regimes = regimes;
  return out;
}

Entry certification(const std::string& name, bool outlives_start) {
  Entry out = entry(Kind::certify, "proposal-" + name);
  out.certificate.name = name;
  out.certificate.host = "h1";
  out.certificate.regime = "card-data";
  out.certificate.from = Millis(1700000000000.5);
  out.certificate.until = Millis(1700086400000);
  out.certificate.outlives_start = outlives_start;
  out.certificate.host_life = outlives_start ? 0 : 1699999990000.25;
  return out;
}

Entry about_certificate(Kind kind, const std::string& name, std::uint64_t round) {
  Entry out = entry(kind, "");
  out.name = name;
  out.round = round;
  return out;
}

Entry notified(const std::string& name, std::uint64_t round) {
  Entry out = about_certificate(Kind::told, name, round);
  out.member = "member-1";
  out.life = 1ULL << 60;
  return out;
}

}  // namespace

std::vector<std::pair<std::string, Entry>> sample_compliance_entries() {
  return {{"regime", regime("card-data", "zone-a", true)},
          {"regime anywhere", regime("health", "", false)},
          {"tenant", tenant("tenant-1", {"card-data", "health"})},
          {"tenant without regimes", tenant("tenant-2", {})},
          {"tenant without name", tenant("", {"health"})},
          {"certify", certification("certificate-1", false)},
          {"certify for restarts", certification("certificate-2", true)},
          {"revoke", about_certificate(Kind::revoke, "certificate-1", 0)},
          {"told", notified("certificate-1", 8)},
          {"ended", about_certificate(Kind::ended, "certificate-1", 8)}};
}

compliance::Book sample_compliance_state() {
  compliance::Book out;
  std::uint64_t index = 0;
  const auto apply = [&](const Entry& e) { return out.apply(++index, e); };
  apply(regime("card-data", "zone-a", true));
  apply(regime("health", "", false));
  apply(tenant("tenant-1", {"card-data", "health"}));
  apply(tenant("tenant-2", {}));
  apply(tenant("tenant-3", {"unknown"}));  // refused
  for (const char* name : {"certificate-1", "certificate-2", "certificate-3"})
    apply(certification(name, name == std::string("certificate-2")));
  apply(about_certificate(Kind::revoke, "certificate-1", 0));
  apply(notified("certificate-1", index));
  apply(about_certificate(Kind::revoke, "certificate-3", 0));
  apply(about_certificate(Kind::ended, "certificate-3", index));
  return out;
}

}  // namespace lotusyard::golden
