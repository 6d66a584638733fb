#include "maintenance_samples.h"

namespace lotusyard::golden {
namespace {

using compliance::Certificate;
using compliance::LogEntry;
using compliance::Millis;
using Kind = LogEntry::Kind;

LogEntry entry(Kind kind, const std::string& proposal) {
  LogEntry out;
  out.kind = kind;
  out.proposal = proposal;
  return out;
}

LogEntry regime(const std::string& name, const std::string& zone, bool exclusive) {
  LogEntry out = entry(Kind::put_regime, "proposal-" + name);
  out.regime = {name, zone, exclusive};
  return out;
}

LogEntry tenant(const std::string& name, const std::set<std::string>& regimes) {
  LogEntry out = entry(Kind::put_tenant, "proposal-" + name);
  out.tenant = name;
  out.regimes = regimes;
  return out;
}

LogEntry certification(const std::string& name, bool outlives_start) {
  LogEntry out = entry(Kind::certify, "proposal-" + name);
  out.certificate.name = name;
  out.certificate.host = "h1";
  out.certificate.regime = "card-data";
  out.certificate.valid_from = Millis(1700000000000.5);
  out.certificate.valid_until = Millis(1700086400000);
  out.certificate.survives_restart = outlives_start;
  out.certificate.host_incarnation = outlives_start ? 0 : 1699999990000.25;
  return out;
}

LogEntry about_certificate(Kind kind, const std::string& name, std::uint64_t round) {
  LogEntry out = entry(kind, "");
  out.name = name;
  out.revoked_at_index = round;
  return out;
}

LogEntry notified(const std::string& name, std::uint64_t round) {
  LogEntry out = about_certificate(Kind::acknowledge, name, round);
  out.member = "member-1";
  out.incarnation = 1ULL << 60;
  return out;
}

}  // namespace

std::vector<std::pair<std::string, LogEntry>> sample_compliance_entries() {
  return {{"regime", regime("card-data", "zone-a", true)},
          {"regime anywhere", regime("health", "", false)},
          {"tenant", tenant("tenant-1", {"card-data", "health"})},
          {"tenant without regimes", tenant("tenant-2", {})},
          {"tenant without name", tenant("", {"health"})},
          {"certify", certification("certificate-1", false)},
          {"certify for restarts", certification("certificate-2", true)},
          {"revoke", about_certificate(Kind::revoke, "certificate-1", 0)},
          {"told", notified("certificate-1", 8)},
          {"ended", about_certificate(Kind::finish_revocation, "certificate-1", 8)}};
}

compliance::CertificateState sample_compliance_state() {
  compliance::CertificateState out;
  std::uint64_t index = 0;
  const auto apply = [&](const LogEntry& e) { return out.apply(++index, e); };
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
  apply(about_certificate(Kind::finish_revocation, "certificate-3", index));
  return out;
}

}  // namespace lotusyard::golden
