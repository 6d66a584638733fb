// The commands that move a host through the stages of a job.
#include "maintenance/maintenance_state.h"
#include "maintenance/refusals.h"

namespace lotusyard::maintenance {

std::string MaintenanceState::execute(const SelectHosts& command, const Context& context) {
  for (const auto& id : command.hosts) {
    const auto found = records_.hosts.find(id);
    if (found == records_.hosts.end() || found->second.stage != HostStage::waiting)
      continue;
    HostProgress& host = found->second;
    if (find_job(host.job)->state != MaintenanceJob::State::running || !budget().has_room())
      continue;
    host.stage = HostStage::selected;
    host.selected_at_index = records_.index;
    host.since = context.now;
  }
  return {};
}

HostProgress* MaintenanceState::find_mutable_host(const std::string& id) {
  const auto found = records_.hosts.find(id);
  return found == records_.hosts.end() ? nullptr : &found->second;
}

void MaintenanceState::enter_stage(HostProgress& host, HostStage stage, const Context& context) {
  host.stage = stage;
  host.since = context.now;
  host.reason = context.reason;
}

std::string MaintenanceState::drain_refusal(const HostProgress& host) const {
  const MaintenanceJob& job = *find_job(host.job);
  if (job.state != MaintenanceJob::State::running)
    return "work: " + job.id + " is " + name_of(job.state);
  // A member that has not applied the selection would continue to use the host without a lease.
  if (const std::string* member = records_.members.find_member_behind(host.selected_at_index))
    return "member " + *member + " does not know that " + host.key.id + " is next";
  return budget().exceeded_bound(job, host.key);
}

std::string MaintenanceState::execute(const StartDrain& command, const Context& context) {
  HostProgress* host = find_mutable_host(command.host);
  std::string refusal = stage_refusal(host, command, HostStage::selected);
  if (!refusal.empty())
    return refusal;
  if (host->selected_at_index != command.selected_at_index)
    return wrong_stage(*host);
  refusal = drain_refusal(*host);
  if (!refusal.empty())
    return refusal;
  host->selected_at_index = records_.index;
  enter_stage(*host, HostStage::draining, context);
  return {};
}

std::string MaintenanceState::execute(const ReleaseToOperators& command, const Context& context) {
  HostProgress* host = find_mutable_host(command.host);
  std::string refusal = stage_refusal(host, command, HostStage::draining);
  if (!refusal.empty())
    return refusal;
  if (host->selected_at_index != command.selected_at_index)
    return wrong_stage(*host);
  host->released_to_operators = true;
  enter_stage(*host, HostStage::out_of_service, context);
  return {};
}

std::string MaintenanceState::execute(const ReturnToService& command, const Context& context) {
  HostProgress* host = find_mutable_host(command.host);
  std::string refusal = stage_refusal(host, command, HostStage::out_of_service);
  if (!refusal.empty())
    return refusal;
  host->overdue = false;
  host->selected_at_index = records_.index;
  enter_stage(*host, HostStage::slow_start, context);
  return {};
}

std::string MaintenanceState::execute(const Complete& command, const Context& context) {
  HostProgress* host = find_mutable_host(command.host);
  std::string refusal = stage_refusal(host, command, HostStage::slow_start);
  if (!refusal.empty())
    return refusal;
  enter_stage(*host, HostStage::returned, context);
  records_.last_return_at = context.now;
  close_if_done(std::string(host->job));  // a copy: the host may be erased
  return {};
}

std::string MaintenanceState::execute(const Overdue& command, const Context& context) {
  HostProgress* host = find_mutable_host(command.host);
  std::string refusal = stage_refusal(host, command, HostStage::out_of_service);
  if (!refusal.empty())
    return refusal;
  host->overdue = true;
  host->reason = context.reason;
  return {};
}

}  // namespace lotusyard::maintenance
