#include "golden/maintenance_samples.h"

namespace lotusyard::golden {
namespace {

using compliance::Acknowledge;
using compliance::Certificate;
using compliance::Certify;
using compliance::FinishRevocation;
using compliance::LogEntry;
using compliance::Millis;
using compliance::PutRegime;
using compliance::PutTenant;
using compliance::Revoke;

LogEntry regime(const std::string& name, const std::string& zone, bool exclusive) {
  return {PutRegime{{name, zone, exclusive}}, "proposal-" + name};
}

LogEntry tenant(const std::string& name, const std::set<std::string>& regimes) {
  return {PutTenant{name, regimes}, "proposal-" + name};
}

LogEntry certification(const std::string& name, bool survives_restart) {
  Certificate certificate;
  certificate.name = name;
  certificate.host = "h1";
  certificate.regime = "card-data";
  certificate.valid_from = Millis(1700000000000.5);
  certificate.valid_until = Millis(1700086400000);
  certificate.survives_restart = survives_restart;
  certificate.host_incarnation = survives_restart ? 0 : 1699999990000.25;
  return {Certify{certificate}, "proposal-" + name};
}

LogEntry revocation(const std::string& certificate) { return {Revoke{certificate}}; }

LogEntry acknowledgement(const std::string& certificate, std::uint64_t revoked_at_index) {
  return {Acknowledge{certificate, "member-1", 1ULL << 60, revoked_at_index}};
}

LogEntry end_of_revocation(const std::string& certificate, std::uint64_t revoked_at_index) {
  return {FinishRevocation{certificate, revoked_at_index}};
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
          {"revoke", revocation("certificate-1")},
          {"told", acknowledgement("certificate-1", 8)},
          {"ended", end_of_revocation("certificate-1", 8)}};
}

compliance::CertificateState sample_compliance_state() {
  compliance::CertificateState out;
  std::uint64_t index = 0;
  const auto apply = [&](const LogEntry& entry) { return out.apply(++index, entry); };
  apply(regime("card-data", "zone-a", true));
  apply(regime("health", "", false));
  apply(tenant("tenant-1", {"card-data", "health"}));
  apply(tenant("tenant-2", {}));
  apply(tenant("tenant-3", {"unknown"}));  // rejected
  for (const char* name : {"certificate-1", "certificate-2", "certificate-3"})
    apply(certification(name, name == std::string("certificate-2")));
  apply(revocation("certificate-1"));
  apply(acknowledgement("certificate-1", index));
  apply(revocation("certificate-3"));
  apply(end_of_revocation("certificate-3", index));
  return out;
}

}  // namespace lotusyard::golden
