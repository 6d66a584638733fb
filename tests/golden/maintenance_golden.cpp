// Maintenance jobs: log entries of every kind, the state's snapshot, and the admin endpoint's JSON.
#include "golden/golden_file.h"
#include "golden/maintenance_samples.h"
#include "maintenance/admin_endpoint.h"
#include "maintenance/log_entry_codec.h"

namespace lotusyard::golden {
namespace {

std::string reencode_entry(const std::string& bytes) {
  return maintenance::encode_entry(decoded(maintenance::parse_entry(bytes)));
}

std::string reencode_heartbeat(const std::string& bytes) {
  return maintenance::heartbeat_to_json(decoded(maintenance::parse_heartbeat(nlohmann::json::parse(bytes))))
      .dump();
}

std::string reencode_job(const std::string& bytes) {
  return maintenance::job_to_json(maintenance::parse_job(nlohmann::json::parse(bytes))).dump();
}

std::string reencode_snapshot(const std::string& bytes) {
  maintenance::MaintenanceState state;
  if (!state.restore(nlohmann::json::parse(bytes), maintenance::Millis(5000)))
    throw std::runtime_error("the snapshot can't be restored");
  return state.snapshot().dump();
}

std::string proposal(const std::string& text) {
  std::map<std::string, core::ListedHost> listed;
  for (const char* id : {"h1", "h2", "h3"}) {
    listed[id].entry.host = id;
    listed[id].entry.zone = "zone-a";
    listed[id].entry.kind = "kind-a";
  }
  const maintenance::OperatorProposal read = maintenance::parse_proposal(text, listed);
  return read.entry ? maintenance::encode_entry(*read.entry)
                    : std::to_string(read.rejection.status) + " " + read.rejection.text;
}

void add_entries(std::vector<Sample>& out) {
  for (const auto& [name, entry] : sample_maintenance_entries())
    out.push_back({"entry " + name, maintenance::encode_entry(entry), reencode_entry});
}

void add_admin_responses(std::vector<Sample>& out) {
  const maintenance::MaintenanceState state = sample_maintenance_state();
  out.push_back({"admin jobs", maintenance::jobs_to_json(state, "member-1").dump(), {}});
  out.push_back({"admin outcome done", maintenance::outcome_to_json({true, "", 7}).dump(), {}});
  out.push_back(
      {"admin outcome refused", maintenance::outcome_to_json({false, "id: known already", 8}).dump(), {}});
  const std::string job = R"({"t":"add","id":"p9","added":{"id":"job-9","select":{"zones":["zone-a"]},)"
                          R"("bounds":{"out":2,"usable":0.25}}})";
  out.push_back({"admin proposal job", proposal(job), {}});
  out.push_back(
      {"admin proposal alter", proposal(R"({"t":"alter","id":"p8","work":"job-1","state":"paused"})"), {}});
  out.push_back({"admin proposal unknown host",
                 proposal(R"({"t":"add","id":"p7","added":{"id":"j","select":{"hosts":["none"]}}})"),
                 {}});
  out.push_back({"admin proposal not allowed", proposal(R"({"t":"take","id":"p6","host":"h1"})"), {}});
  out.push_back({"admin proposal no JSON", proposal("{"), {}});
}

}  // namespace

GoldenFile maintenance_golden() {
  GoldenFile out{"maintenance", {}};
  add_entries(out.samples);
  const maintenance::Heartbeat least{"member-2", 3, 1500.25, 17, {}, std::nullopt, std::nullopt};
  out.samples.push_back(
      {"heartbeat least", maintenance::heartbeat_to_json(least).dump(), reencode_heartbeat});
  out.samples.push_back(
      {"heartbeat full", maintenance::heartbeat_to_json(sample_heartbeat()).dump(), reencode_heartbeat});
  out.samples.push_back({"job", maintenance::job_to_json(sample_job()).dump(), reencode_job});
  out.samples.push_back(
      {"snapshot empty", maintenance::MaintenanceState().snapshot().dump(), reencode_snapshot});
  out.samples.push_back({"snapshot", sample_maintenance_state().snapshot().dump(), reencode_snapshot});
  add_admin_responses(out.samples);
  return out;
}

}  // namespace lotusyard::golden
