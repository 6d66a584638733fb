// Maintenance jobs: log entries of every kind, the state's snapshot, and the admin endpoint's JSON.
#include "golden_part.h"
#include "maintenance_samples.h"
#include "works/admin_endpoint.h"

namespace lotusyard::golden {
namespace {

using works::Entry;
using Kind = Entry::Kind;

std::string reencode_entry(const std::string& bytes) {
  return works::worded(decoded(works::read_entry(bytes)));
}

std::string reencode_heartbeat(const std::string& bytes) {
  return works::worded_beat(decoded(works::read_beat(nlohmann::json::parse(bytes)))).dump();
}

std::string reencode_job(const std::string& bytes) {
  return works::worded_work(works::read_work(nlohmann::json::parse(bytes))).dump();
}

std::string reencode_snapshot(const std::string& bytes) {
  works::Board state;
  if (!state.restore(nlohmann::json::parse(bytes), works::Millis(5000)))
    throw std::runtime_error("the snapshot can't be restored");
  return state.snapshot().dump();
}

std::string proposal(const std::string& text) {
  std::map<std::string, core::Member> listed;
  for (const char* id : {"h1", "h2", "h3"}) {
    listed[id].entry.worker = id;
    listed[id].entry.zone = "zone-a";
    listed[id].entry.kind = "kind-a";
  }
  const works::Proposal read = works::read_proposal(text, listed);
  return read.entry ? works::worded(*read.entry)
                    : std::to_string(read.refused.status) + " " + read.refused.text;
}

void add_entries(std::vector<Sample>& out) {
  for (const auto& [name, entry] : sample_maintenance_entries())
    out.push_back({"entry " + name, works::worded(entry), reencode_entry});
}

void add_answers(std::vector<Sample>& out) {
  const works::Board state = sample_maintenance_state();
  out.push_back({"admin jobs", works::shown_works(state, "member-1").dump(), {}});
  out.push_back({"admin outcome done", works::shown_outcome({true, "", 7}).dump(), {}});
  out.push_back({"admin outcome refused", works::shown_outcome({false, "id: known already", 8}).dump(), {}});
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

Part maintenance_part() {
  Part out{"maintenance", {}};
  add_entries(out.samples);
  const works::Beat least{"member-2", 3, 1500.25, 17, {}, std::nullopt, std::nullopt};
  out.samples.push_back({"heartbeat least", works::worded_beat(least).dump(), reencode_heartbeat});
  out.samples.push_back(
      {"heartbeat full", works::worded_beat(sample_heartbeat()).dump(), reencode_heartbeat});
  out.samples.push_back({"job", works::worded_work(sample_job()).dump(), reencode_job});
  out.samples.push_back({"snapshot empty", works::Board().snapshot().dump(), reencode_snapshot});
  out.samples.push_back({"snapshot", sample_maintenance_state().snapshot().dump(), reencode_snapshot});
  add_answers(out.samples);
  return out;
}

}  // namespace lotusyard::golden
