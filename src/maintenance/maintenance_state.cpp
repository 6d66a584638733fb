#include "maintenance/maintenance_state.h"

#include <algorithm>
#include <iterator>

#include "maintenance/snapshot_codec.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;
using Kind = LogEntry::Kind;

bool is_final(MaintenanceJob::State state) {
  return state == MaintenanceJob::State::done || state == MaintenanceJob::State::cancelled;
}

// Why a job cannot be changed; empty if it can. `job` is null if there is no job `id`.
std::string change_refusal(const MaintenanceJob* job, const std::string& id) {
  if (job == nullptr) return "work: no work " + id;
  if (is_final(job->state)) return "work: " + id + " is " + name_of(job->state);
  return {};
}

}  // namespace

MaintenanceJob* MaintenanceState::find_mutable_job(const std::string& id) {
  const auto found = std::find_if(records_.jobs.begin(), records_.jobs.end(),
                                  [&](const MaintenanceJob& job) { return job.id == id; });
  return found == records_.jobs.end() ? nullptr : &*found;
}

const MaintenanceJob* MaintenanceState::find_job(const std::string& id) const {
  return const_cast<MaintenanceState*>(this)->find_mutable_job(id);
}

const ProposalOutcome* MaintenanceState::find_outcome(const std::string& proposal) const {
  return records_.outcomes.find(proposal);
}

ProposalOutcome MaintenanceState::apply(std::uint64_t index, const LogEntry& entry, Millis now) {
  records_.index = index;
  // An operator repeats a proposal if the response was lost.
  if (!entry.proposal.empty()) {
    if (const ProposalOutcome* earlier = find_outcome(entry.proposal)) return *earlier;
  }
  const std::string refusal = apply_command(entry, now);
  const ProposalOutcome outcome{refusal.empty(), refusal, index};
  if (!entry.proposal.empty()) records_.outcomes.remember(entry.proposal, outcome);
  return outcome;
}

std::string MaintenanceState::apply_command(const LogEntry& entry, Millis now) {
  switch (entry.kind) {
    case Kind::read_barrier: return {};
    case Kind::heartbeats: return record_heartbeats(entry, now);
    case Kind::join: {
      const bool joined = records_.members.join(entry.member, entry.incarnation, entry.serves, now);
      return joined ? std::string() : "member: this life is not a new one";
    }
    case Kind::leave: return records_.members.remove(entry.member) ? std::string() : "member: no such member";
    case Kind::add_job: return add_job(entry, now);
    case Kind::change_job_state: return change_job_state(entry);
    case Kind::change_bounds: return change_bounds(entry);
    case Kind::select_hosts: return select_hosts(entry, now);
    case Kind::start_drain:
    case Kind::release_to_operators:
    case Kind::return_to_service:
    case Kind::complete:
    case Kind::overdue: return advance_host(entry, now);
  }
  return "unknown";
}

std::string MaintenanceState::record_heartbeats(const LogEntry& entry, Millis now) {
  for (const auto& heartbeat : entry.heartbeats) records_.members.record(heartbeat, now);
  records_.waiting_reason = entry.reason;
  return {};
}

std::string MaintenanceState::add_job(const LogEntry& entry, Millis now) {
  if (!entry.added_job) return "work: missing";
  const MaintenanceJob& job = *entry.added_job;
  if (find_job(job.id) != nullptr) return "id: there is a work " + job.id + " already";
  if (job.bounds.max_out > static_cast<int>(job.hosts.size()))
    return "out: " + std::to_string(job.bounds.max_out) + " out at once of " +
           std::to_string(job.hosts.size()) + " hosts";
  const int listed = records_.members.min_listed_hosts();
  if (listed > 0 && DisruptionBudget::max_unavailable_hosts(job.bounds.min_usable_share, listed) < 1)
    return "usable: of " + std::to_string(listed) + " hosts none could ever be out";
  for (const auto& host : job.hosts) {
    const auto found = records_.hosts.find(host.id);
    if (found != records_.hosts.end()) return "hosts: " + host.id + " is in work " + found->second.job;
  }
  records_.jobs.push_back(job);
  records_.jobs.back().state = MaintenanceJob::State::running;
  for (const auto& key : job.hosts) {
    HostProgress& host = records_.hosts[key.id];
    host.key = key;
    host.job = job.id;
    host.since = now;
  }
  return {};
}

std::string MaintenanceState::change_bounds(const LogEntry& entry) {
  MaintenanceJob* job = find_mutable_job(entry.job);
  std::string refusal = change_refusal(job, entry.job);
  if (!refusal.empty()) return refusal;
  if (!entry.bounds) return "bounds: missing";
  if (entry.bounds->max_out > static_cast<int>(job->hosts.size())) return "out: more than there are hosts";
  job->bounds = *entry.bounds;
  return {};
}

std::string MaintenanceState::change_job_state(const LogEntry& entry) {
  MaintenanceJob* job = find_mutable_job(entry.job);
  std::string refusal = change_refusal(job, entry.job);
  if (!refusal.empty()) return refusal;
  if (entry.state == MaintenanceJob::State::done) return "state: a work is done when its hosts are back";
  job->state = entry.state;
  if (entry.state != MaintenanceJob::State::cancelled) return {};
  release_untouched_hosts(entry.job);
  close_if_done(entry.job);
  return {};
}

// Hosts that operators cannot have touched are used again; all others stay out until they are returned.
void MaintenanceState::release_untouched_hosts(const std::string& job_id) {
  for (auto host = records_.hosts.begin(); host != records_.hosts.end();) {
    const bool is_untouched = host->second.job == job_id && !host->second.released_to_operators;
    host = is_untouched ? records_.hosts.erase(host) : std::next(host);
  }
}

std::string MaintenanceState::select_hosts(const LogEntry& entry, Millis now) {
  for (const auto& id : entry.hosts) {
    const auto found = records_.hosts.find(id);
    if (found == records_.hosts.end() || found->second.stage != HostStage::waiting) continue;
    HostProgress& host = found->second;
    if (find_job(host.job)->state != MaintenanceJob::State::running || !budget().has_room()) continue;
    host.stage = HostStage::selected;
    host.selected_at_index = records_.index;
    host.since = now;
  }
  return {};
}

std::string MaintenanceState::advance_host(const LogEntry& entry, Millis now) {
  const auto found = records_.hosts.find(entry.host);
  if (found == records_.hosts.end()) return "host: " + entry.host + " is in no work";
  HostProgress& host = found->second;
  std::string refusal = advance_stage(entry, host);
  if (!refusal.empty()) return refusal;
  host.reason = entry.reason;
  if (entry.kind == Kind::overdue) return {};
  host.since = now;
  if (entry.kind != Kind::complete) return {};
  records_.last_return_at = now;
  close_if_done(std::string(host.job));  // a copy: the host may be erased
  return {};
}

std::string MaintenanceState::advance_stage(const LogEntry& entry, HostProgress& host) {
  const std::string wrong_stage = "host: " + entry.host + " is " + name_of(host.stage);
  const bool is_current = host.selected_at_index == entry.selected_at_index;
  switch (entry.kind) {
    case Kind::start_drain:
      if (host.stage != HostStage::selected || !is_current) return wrong_stage;
      return start_drain(host);
    case Kind::release_to_operators:
      if (host.stage != HostStage::draining || !is_current) return wrong_stage;
      host.stage = HostStage::out_of_service;
      host.released_to_operators = true;
      return {};
    case Kind::return_to_service:
      if (host.stage != HostStage::out_of_service) return wrong_stage;
      host.stage = HostStage::slow_start;
      host.overdue = false;
      host.selected_at_index = records_.index;
      return {};
    case Kind::complete:
      if (host.stage != HostStage::slow_start) return wrong_stage;
      host.stage = HostStage::returned;
      return {};
    default:
      if (host.stage != HostStage::out_of_service) return wrong_stage;
      host.overdue = true;
      return {};
  }
}

std::string MaintenanceState::start_drain(HostProgress& host) {
  const MaintenanceJob& job = *find_job(host.job);
  if (job.state != MaintenanceJob::State::running) return "work: " + job.id + " is " + name_of(job.state);
  // A member that does not know of the selection would continue to use the host without its lease.
  if (const std::string* member = records_.members.find_member_behind(host.selected_at_index))
    return "member " + *member + " does not know that " + host.key.id + " is next";
  std::string exceeded = budget().exceeded_bound(job, host.key);
  if (!exceeded.empty()) return exceeded;
  host.stage = HostStage::draining;
  host.selected_at_index = records_.index;
  return {};
}

bool MaintenanceState::is_closed(const MaintenanceJob& job) const {
  const auto belongs = [&](const auto& host) { return host.second.job == job.id; };
  return is_final(job.state) && std::none_of(records_.hosts.begin(), records_.hosts.end(), belongs);
}

// Closes the job once all its hosts have returned, and drops the oldest closed jobs over the limit. The hosts
// of a closed job belong to no job any more.
void MaintenanceState::close_if_done(const std::string& id) {
  auto& hosts = records_.hosts;
  const auto is_open = [&](const auto& host) {
    return host.second.job == id && host.second.stage != HostStage::returned;
  };
  if (std::any_of(hosts.begin(), hosts.end(), is_open)) return;
  for (auto host = hosts.begin(); host != hosts.end();)
    host = host->second.job == id ? hosts.erase(host) : std::next(host);
  MaintenanceJob* job = find_mutable_job(id);
  if (job->state != MaintenanceJob::State::cancelled) job->state = MaintenanceJob::State::done;
  auto& jobs = records_.jobs;
  const auto closed = [&](const MaintenanceJob& candidate) { return is_closed(candidate); };
  while (std::count_if(jobs.begin(), jobs.end(), closed) > static_cast<std::ptrdiff_t>(kMaxClosedJobs))
    jobs.erase(std::find_if(jobs.begin(), jobs.end(), closed));
}

std::set<std::string> MaintenanceState::hosts_to_avoid(bool leased) const {
  std::set<std::string> out;
  for (const auto& [id, host] : records_.hosts) {
    const bool is_out = host.stage == HostStage::draining || host.stage == HostStage::out_of_service;
    const bool may_be_next = !leased && host.stage == HostStage::selected;
    if (is_out || may_be_next) out.insert(id);
  }
  return out;
}

json MaintenanceState::snapshot() const { return encode_snapshot(records_); }

bool MaintenanceState::restore(const json& from, Millis now) {
  auto decoded = decode_snapshot(from, now);
  if (!decoded) return false;
  records_ = std::move(*decoded);
  return true;
}

}  // namespace lotusyard::maintenance
