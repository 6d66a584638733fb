#include "maintenance/maintenance_state.h"

#include <algorithm>
#include <iterator>

#include "maintenance/refusals.h"
#include "maintenance/snapshot_codec.h"

namespace lotusyard::maintenance {

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
    if (const ProposalOutcome* earlier = find_outcome(entry.proposal))
      return *earlier;
  }
  const Context context{entry.reason, now};
  const auto execute_command = [&](const auto& command) { return execute(command, context); };
  const std::string refusal = std::visit(execute_command, entry.command);
  ProposalOutcome outcome{refusal.empty(), refusal, index};
  if (!entry.proposal.empty())
    records_.outcomes.add(entry.proposal, outcome);
  return outcome;
}

std::string MaintenanceState::execute(const ReadBarrier&, const Context&) { return {}; }

std::string MaintenanceState::execute(const RecordHeartbeats& command, const Context& context) {
  for (const auto& heartbeat : command.heartbeats)
    records_.members.record(heartbeat, context.now);
  records_.waiting_reason = context.reason;
  return {};
}

std::string MaintenanceState::execute(const Join& command, const Context& context) {
  const bool joined = records_.members.join(command.member, command.incarnation, command.serves, context.now);
  return joined ? std::string() : "member: this life is not a new one";
}

std::string MaintenanceState::execute(const Leave& command, const Context&) {
  return records_.members.remove(command.member) ? std::string() : "member: no such member";
}

std::string MaintenanceState::execute(const AddJob& command, const Context& context) {
  if (!command.job)
    return "work: missing";
  const MaintenanceJob& job = *command.job;
  if (find_job(job.id) != nullptr)
    return "id: there is a work " + job.id + " already";
  if (job.bounds.max_out > static_cast<int>(job.hosts.size()))
    return "out: " + std::to_string(job.bounds.max_out) + " out at once of " +
           std::to_string(job.hosts.size()) + " hosts";
  const int listed = records_.members.min_listed_hosts();
  if (listed > 0 && DisruptionBudget::max_unavailable_hosts(job.bounds.min_usable_share, listed) < 1)
    return "usable: of " + std::to_string(listed) + " hosts none could ever be out";
  for (const auto& host : job.hosts) {
    const auto found = records_.hosts.find(host.id);
    if (found != records_.hosts.end())
      return "hosts: " + host.id + " is in work " + found->second.job;
  }
  records_.jobs.push_back(job);
  records_.jobs.back().state = MaintenanceJob::State::running;
  for (const auto& key : job.hosts) {
    HostProgress& host = records_.hosts[key.id];
    host.key = key;
    host.job = job.id;
    host.since = context.now;
  }
  return {};
}

std::string MaintenanceState::execute(const ChangeBounds& command, const Context&) {
  MaintenanceJob* job = find_mutable_job(command.job);
  std::string refusal = change_refusal(job, command.job);
  if (!refusal.empty())
    return refusal;
  if (!command.bounds)
    return "bounds: missing";
  if (command.bounds->max_out > static_cast<int>(job->hosts.size()))
    return "out: more than there are hosts";
  job->bounds = *command.bounds;
  return {};
}

std::string MaintenanceState::execute(const ChangeJobState& command, const Context&) {
  MaintenanceJob* job = find_mutable_job(command.job);
  std::string refusal = change_refusal(job, command.job);
  if (!refusal.empty())
    return refusal;
  if (command.state == MaintenanceJob::State::done)
    return "state: a work is done when its hosts are back";
  job->state = command.state;
  if (command.state != MaintenanceJob::State::cancelled)
    return {};
  release_untouched_hosts(command.job);
  close_if_done(command.job);
  return {};
}

// Hosts that were never released to operators are used again; all others stay out until they are returned.
void MaintenanceState::release_untouched_hosts(const std::string& job_id) {
  for (auto host = records_.hosts.begin(); host != records_.hosts.end();) {
    const bool is_untouched = host->second.job == job_id && !host->second.released_to_operators;
    host = is_untouched ? records_.hosts.erase(host) : std::next(host);
  }
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
  if (std::any_of(hosts.begin(), hosts.end(), is_open))
    return;
  for (auto host = hosts.begin(); host != hosts.end();)
    host = host->second.job == id ? hosts.erase(host) : std::next(host);
  MaintenanceJob* job = find_mutable_job(id);
  if (job->state != MaintenanceJob::State::cancelled)
    job->state = MaintenanceJob::State::done;
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
    if (is_out || may_be_next)
      out.insert(id);
  }
  return out;
}

nlohmann::json MaintenanceState::snapshot() const { return encode_snapshot(records_); }

bool MaintenanceState::restore(const nlohmann::json& from, Millis now) {
  auto decoded = decode_snapshot(from, now);
  if (!decoded)
    return false;
  records_ = std::move(*decoded);
  return true;
}

}  // namespace lotusyard::maintenance
