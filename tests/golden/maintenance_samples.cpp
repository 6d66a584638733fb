#include "golden/maintenance_samples.h"

namespace lotusyard::golden {
namespace {

using maintenance::LogEntry;
using maintenance::MaintenanceJob;
using maintenance::Millis;

template <typename Transition>
LogEntry host_transition(const std::string& host, std::uint64_t selected_at_index,
                         const std::string& reason = {}) {
  Transition transition;
  transition.job = "job-1";
  transition.host = host;
  transition.selected_at_index = selected_at_index;
  return {transition, reason, {}};
}

LogEntry addition(const std::string& proposal, const MaintenanceJob& job) {
  return {maintenance::AddJob{job}, {}, proposal};
}

LogEntry alteration(MaintenanceJob::State state) {
  return {maintenance::ChangeJobState{"job-2", state},
          {},
          "proposal-" + std::string(maintenance::name_of(state))};
}

LogEntry joining(const std::string& member, std::uint64_t incarnation, bool serves) {
  return {maintenance::Join{member, incarnation, serves}, {}, {}};
}

LogEntry heartbeats() {
  maintenance::RecordHeartbeats out;
  out.heartbeats = {sample_heartbeat(), {"member-2", 2, 900, 4, {}, std::nullopt, std::nullopt}};
  return {out, R"({"job-1":"zone: 1 out at once"})", {}};
}

LogEntry selection(const std::vector<std::string>& hosts) {
  return {maintenance::SelectHosts{"job-1", hosts}, {}, {}};
}

LogEntry new_bounds() {
  const maintenance::DisruptionBounds bounds{3, 2, 1, 0.125, Millis(90000.5), Millis(250), true};
  return {maintenance::ChangeBounds{"job-2", bounds}, {}, "proposal-bounds"};
}

MaintenanceJob second_job() {
  MaintenanceJob out;
  out.id = "job-2";
  out.hosts = {{"h5", "zone-b", "kind-b"}};
  return out;
}

}  // namespace

MaintenanceJob sample_job() {
  MaintenanceJob out;
  out.id = "job-1";
  out.hosts = {
      {"h1", "zone-a", "kind-a"}, {"h2", "zone-a", "kind-b"}, {"h3", "zone-b", "kind-a"}, {"h4", "", ""}};
  out.bounds = {4, 0, 0, 0.25, Millis(600000), Millis(1500), true};
  return out;
}

maintenance::Heartbeat sample_heartbeat() {
  maintenance::HostObservations observations;
  observations.serving_value = {{"h1", 0.5}, {"h2", 12.25}};
  observations.down = {"h3"};
  observations.restarted = {"h1"};
  observations.served = {"h2", "h4"};
  observations.calls_per_second = 81.5;
  observations.failed_per_second = 0.125;
  observations.listed_hosts = 12;
  return {"member-1", 1ULL << 60, 1234567.875, 42, {"h1", "h2"}, observations, 40};
}

std::vector<std::pair<std::string, LogEntry>> sample_maintenance_entries() {
  const LogEntry leave{maintenance::Leave{"member-3"}, {}, "proposal-leave"};
  const LogEntry late = host_transition<maintenance::Overdue>("h2", 11, "not drained at member-2");
  return {{"heartbeats", heartbeats()},
          {"join", joining("member-1", 7, true)},
          {"join not serving", joining("member-2", 2, false)},
          {"leave", leave},
          {"add", addition("proposal-1", sample_job())},
          {"alter running", alteration(MaintenanceJob::State::running)},
          {"alter paused", alteration(MaintenanceJob::State::paused)},
          {"alter done", alteration(MaintenanceJob::State::done)},
          {"alter cancelled", alteration(MaintenanceJob::State::cancelled)},
          {"bounds", new_bounds()},
          {"name", selection({"h1", "h2"})},
          {"take", host_transition<maintenance::StartDrain>("h1", 9)},
          {"touch", host_transition<maintenance::ReleaseToOperators>("h1", 10)},
          {"returned", host_transition<maintenance::ReturnToService>("h1", 10)},
          {"back", host_transition<maintenance::Complete>("h1", 10)},
          {"late", late},
          {"ask", LogEntry{}},
          {"text that is no UTF-8", selection({"h\xc3\xa9", "\xff"})}};
}

maintenance::MaintenanceState sample_maintenance_state() {
  maintenance::MaintenanceState out;
  std::uint64_t index = 0;
  const auto apply = [&](const LogEntry& e) {
    ++index;
    out.apply(index, e, Millis(1000));
  };
  apply(joining("member-1", 1ULL << 60, true));
  apply(joining("member-2", 2, false));
  apply(heartbeats());
  apply(addition("proposal-1", sample_job()));
  apply(addition("proposal-1b", sample_job()));  // rejected: the job exists
  apply(addition("proposal-2", second_job()));
  apply(alteration(MaintenanceJob::State::paused));
  apply(selection({"h1", "h2", "h3"}));
  const std::uint64_t selected = index;
  apply(host_transition<maintenance::StartDrain>("h1", selected));
  const std::uint64_t drain_started = index;
  apply(host_transition<maintenance::StartDrain>("h2", selected));
  apply(host_transition<maintenance::ReleaseToOperators>("h1", drain_started));
  apply(host_transition<maintenance::Overdue>("h1", drain_started));
  return out;
}

}  // namespace lotusyard::golden
