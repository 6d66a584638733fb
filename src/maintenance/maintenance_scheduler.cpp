#include "maintenance/maintenance_scheduler.h"

#include <algorithm>
#include <cstdio>

#include "maintenance/service_observations.h"

namespace lotusyard::maintenance {
namespace {

constexpr int kSelectionFactor = 2;  // hosts selected ahead per host that may be out, to choose from

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3g", value);
  return text;
}

void append_name(std::string& names, const std::string& name) {
  if (!names.empty())
    names += ", ";
  names += name;
}

// Why the host may be released to operators; `expired_members` lists the members whose leases have expired.
std::string release_reason(const std::string& expired_members) {
  if (expired_members.empty())
    return "all members are done with it";
  return "the leases have run out of " + expired_members + "; all others are done";
}

std::string still_used_reason(const std::string& host, const std::string& using_members) {
  return "host " + host + " is still used, or may be, by " + using_members;
}

template <typename Transition>
LogEntry host_command(const HostProgress& host, std::string reason) {
  Transition transition;
  transition.job = host.job;
  transition.host = host.key.id;
  transition.selected_at_index = host.selected_at_index;
  return {std::move(transition), std::move(reason), {}};
}

// Why the host cannot be drained for the job now; empty if it can.
std::string drain_refusal(const MaintenanceState& state, const MaintenanceJob& job,
                          const HostProgress& host) {
  std::string out = state.budget().exceeded_bound(job, host.key);
  for (const auto& [name, member] : state.members()) {
    if (!member.serves || member.followed_index >= host.selected_at_index)
      continue;
    out = member.applied_index < host.selected_at_index
              ? "member " + name + " does not follow: it is to come back or to leave"
              : "an invoker of control node " + name + " may not know that " + host.key.id + " is next";
  }
  return out;
}

using HostSet = std::set<std::string> HostObservations::*;

// The name of a member whose observations include the host; empty if there is none.
std::string find_reporter(const MaintenanceState& state, const std::string& host, HostSet observed) {
  for (const auto& [name, member] : state.members()) {
    if (member.has_reported && (member.observations.*observed).count(host) != 0)
      return name;
  }
  return {};
}

// The entry for a host that is out of service: it has restarted, or is overdue.
std::optional<LogEntry> return_or_overdue_entry(const MaintenanceState& state, const HostProgress& host,
                                                Millis now) {
  const MaintenanceJob& job = *state.find_job(host.job);
  const std::string reporter = job.bounds.restart_is_return
                                   ? find_reporter(state, host.key.id, &HostObservations::restarted)
                                   : std::string();
  if (!reporter.empty())
    return host_command<ReturnToService>(host, "it has started anew, says " + reporter);
  if (!host.overdue && now - host.since > job.bounds.max_time_out)
    return host_command<Overdue>(
        host, "out for longer than " + format_number(job.bounds.max_time_out.count() / 1000) + " s");
  return std::nullopt;
}

std::optional<LogEntry> completion_entry(const MaintenanceState& state, const HostProgress& host) {
  const std::string reporter = find_reporter(state, host.key.id, &HostObservations::served);
  if (reporter.empty())
    return std::nullopt;
  return host_command<Complete>(host, "it has served a call of " + reporter);
}

}  // namespace

bool MaintenanceScheduler::has_quiesced(const MemberProgress& member, const std::string& host,
                                        std::uint64_t drained_at_index, Millis now) const {
  if (!member.serves)
    return true;
  if (member.applied_index >= drained_at_index && member.drained_hosts.count(host) != 0)
    return true;
  return now - member.last_heartbeat_at >= terms_.presumed_dead_after();
}

std::optional<LogEntry> MaintenanceScheduler::next_release(const MaintenanceState& state, Millis now) {
  for (const auto& [id, host] : state.hosts()) {
    if (host.stage != HostStage::draining)
      continue;
    std::string using_members, expired_members;
    for (const auto& [name, member] : state.members()) {
      if (!has_quiesced(member, id, host.selected_at_index, now))
        append_name(using_members, name);
      else if (member.serves && member.drained_hosts.count(id) == 0)
        append_name(expired_members, name);
    }
    if (using_members.empty())
      return host_command<ReleaseToOperators>(host, release_reason(expired_members));
    waiting_reasons_[host.job] = still_used_reason(id, using_members);
  }
  return std::nullopt;
}

std::optional<LogEntry> MaintenanceScheduler::next_return(const MaintenanceState& state, Millis now) const {
  for (const auto& [id, host] : state.hosts()) {
    auto entry = host.stage == HostStage::out_of_service ? return_or_overdue_entry(state, host, now)
                 : host.stage == HostStage::slow_start   ? completion_entry(state, host)
                                                         : std::nullopt;
    if (entry)
      return entry;
  }
  return std::nullopt;
}

// Hosts are selected ahead, so that the next one can be drained at once, but no more than may be unavailable:
// a member without a lease avoids all of them.
std::optional<LogEntry> MaintenanceScheduler::next_selection(const MaintenanceState& state) const {
  const DisruptionBudget budget = state.budget();
  int room = budget.max_hosts_in_progress() - budget.hosts_in_progress();
  SelectHosts out;
  for (const auto& job : state.jobs()) {
    if (job.state != MaintenanceJob::State::running)
      continue;
    int selected = 0;
    for (const auto& [id, host] : state.hosts())
      selected += host.job == job.id && host.stage == HostStage::selected;
    for (const auto& key : job.hosts) {
      const auto found = state.hosts().find(key.id);
      if (found == state.hosts().end() || found->second.stage != HostStage::waiting)
        continue;
      if (room <= 0 || selected >= kSelectionFactor * job.bounds.max_out)
        break;
      out.hosts.push_back(key.id);
      ++selected;
      --room;
    }
  }
  if (out.hosts.empty())
    return std::nullopt;
  return LogEntry{std::move(out), {}, {}};
}

std::string MaintenanceScheduler::obstacle(const MaintenanceState& state, const MaintenanceJob& job,
                                           Millis now) const {
  for (const auto& [id, host] : state.hosts()) {
    if (host.overdue)
      return "host " + id + " is " + host.reason + "; it is to come back first";
  }
  const ServiceObservations observations(state, terms_, now);
  std::string failure = observations.unexpected_failure();
  if (!failure.empty())
    return failure;
  const double share = observations.failed_share();
  if (baseline_.is_exceeded_by(share))
    return "service falls: " + format_number(share * 100) + "% of calls are lost, usually " +
           format_number(baseline_.share() * 100) + "%";
  if (state.last_return_at().count() > 0 && now - state.last_return_at() < job.bounds.pause)
    return "a pause of " + format_number(job.bounds.pause.count() / 1000) + " s after the last return";
  return {};
}

MaintenanceScheduler::DrainCandidates MaintenanceScheduler::find_candidates(const MaintenanceState& state,
                                                                            const MaintenanceJob& job,
                                                                            Millis now) const {
  const ServiceObservations observations(state, terms_, now);
  DrainCandidates out;
  for (const auto& key : job.hosts) {
    const auto found = state.hosts().find(key.id);
    if (found == state.hosts().end() || found->second.stage != HostStage::selected)
      continue;
    const std::string refusal = drain_refusal(state, job, found->second);
    if (!refusal.empty()) {
      if (out.first_refusal.empty())
        out.first_refusal = refusal;
      continue;
    }
    const double value = observations.serving_value(key.id);
    if (out.best == nullptr || value < out.best_value) {
      if (out.best != nullptr)
        out.next_value = out.best_value;
      out.best = &found->second;
      out.best_value = value;
    } else {
      out.next_value = std::min(out.next_value.value_or(value), value);
    }
  }
  return out;
}

std::optional<LogEntry> MaintenanceScheduler::next_drain(const MaintenanceState& state,
                                                         const MaintenanceJob& job, Millis now) {
  if (job.state == MaintenanceJob::State::paused)
    waiting_reasons_.emplace(job.id, "paused");
  if (job.state != MaintenanceJob::State::running)
    return std::nullopt;
  const std::string blocked = obstacle(state, job, now);
  const DrainCandidates candidates = find_candidates(state, job, now);
  if (candidates.best != nullptr && blocked.empty()) {
    const std::string next = candidates.next_value ? ", the next one " + format_number(*candidates.next_value)
                                                   : ", the only one at hand";
    return host_command<StartDrain>(
        *candidates.best,
        "its absence costs least now: " + format_number(candidates.best_value) + " of worth a second" + next);
  }
  const std::string& reason = blocked.empty() ? candidates.first_refusal : blocked;
  const auto is_waiting = [&](const auto& host) {
    return host.second.job == job.id && host.second.stage == HostStage::waiting;
  };
  if (!reason.empty())
    waiting_reasons_.emplace(job.id, reason);
  else if (std::any_of(state.hosts().begin(), state.hosts().end(), is_waiting))
    waiting_reasons_.emplace(job.id, "as many hosts are in reach as may be");
  return std::nullopt;
}

std::optional<LogEntry> MaintenanceScheduler::next_entry(const MaintenanceState& state, Millis now) {
  waiting_reasons_.clear();
  const double failed_share = ServiceObservations(state, terms_, now).failed_share();
  baseline_.update(failed_share, state.budget().hosts_in_progress() == 0, now);
  if (auto entry = next_release(state, now))
    return entry;
  if (auto entry = next_return(state, now))
    return entry;
  if (auto entry = next_selection(state))
    return entry;
  for (const auto& job : state.jobs()) {
    if (auto entry = next_drain(state, job, now))
      return entry;
  }
  return std::nullopt;
}

}  // namespace lotusyard::maintenance
