// The records that control nodes replicate to invokers, and what invokers report to them.
#include "golden/golden_file.h"
#include "golden/maintenance_samples.h"
#include "node/session_observations.h"
#include "node/state_records.h"

namespace lotusyard::golden {
namespace {

constexpr control::Index kIndex = 30;

std::string reencode_records(const std::string& bytes) {
  return control::encode_records(decoded(control::decode_records(bytes)));
}

// Decodes the records to the states of an invoker, and encodes those.
std::string reencode_states(const std::string& bytes) {
  const control::Records records = decoded(control::decode_records(bytes));
  const auto jobs = node::maintenance_state_from(records, kIndex, maintenance::Millis(5000));
  const auto certificates = node::certificate_state_from(records, kIndex);
  return control::encode_records(node::records_of(decoded(jobs), decoded(certificates)));
}

std::string reencode_observations(const std::string& bytes) {
  node::SessionObservations observations;
  if (!observations.update(1, bytes))
    throw std::runtime_error("the observations can't be decoded");
  return node::SessionObservations::encode("invoker-1", observations.merged({}));
}

}  // namespace

GoldenFile records_golden() {
  const control::Records records = node::records_of(sample_maintenance_state(), sample_compliance_state());
  const control::Records unusual = {{"", ""}, {"key", std::string("\0\xff", 2)}};
  const maintenance::HostObservations observations = *sample_heartbeat().observations;
  GoldenFile out{"records", {}};
  for (const auto& [key, value] : records)
    out.samples.push_back({"record " + key, value, {}});
  out.samples.push_back({"all records", control::encode_records(records), reencode_states});
  out.samples.push_back({"other records", control::encode_records(unusual), reencode_records});
  out.samples.push_back({"invoker's view", node::SessionObservations::encode("invoker-1", observations),
                         reencode_observations});
  return out;
}

}  // namespace lotusyard::golden
