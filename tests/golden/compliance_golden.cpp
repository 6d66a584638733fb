// Compliance: log entries of every kind and the state's snapshot.
#include "golden/golden_file.h"
#include "golden/maintenance_samples.h"

namespace lotusyard::golden {
namespace {

std::string reencode_entry(const std::string& bytes) {
  return compliance::encode_entry(compliance::parse_entry(nlohmann::json::parse(bytes)));
}

std::string reencode_snapshot(const std::string& bytes) {
  compliance::CertificateState state;
  if (!state.restore(nlohmann::json::parse(bytes)))
    throw std::runtime_error("the snapshot can't be restored");
  return state.snapshot().dump();
}

}  // namespace

GoldenFile compliance_golden() {
  GoldenFile out{"compliance", {}};
  for (const auto& [name, entry] : sample_compliance_entries())
    out.samples.push_back({"entry " + name, compliance::encode_entry(entry), reencode_entry});
  out.samples.push_back(
      {"snapshot empty", compliance::CertificateState().snapshot().dump(), reencode_snapshot});
  out.samples.push_back({"snapshot", sample_compliance_state().snapshot().dump(), reencode_snapshot});
  return out;
}

}  // namespace lotusyard::golden
