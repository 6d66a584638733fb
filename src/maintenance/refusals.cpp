#include "maintenance/refusals.h"

namespace lotusyard::maintenance {

bool is_final(MaintenanceJob::State state) {
  return state == MaintenanceJob::State::done || state == MaintenanceJob::State::cancelled;
}

std::string change_refusal(const MaintenanceJob* job, const std::string& id) {
  if (job == nullptr)
    return "work: no work " + id;
  if (is_final(job->state))
    return "work: " + id + " is " + name_of(job->state);
  return {};
}

std::string wrong_stage(const HostProgress& host) {
  return "host: " + host.key.id + " is " + name_of(host.stage);
}

std::string stage_refusal(const HostProgress* host, const HostTransition& transition, HostStage required) {
  if (host == nullptr)
    return "host: " + transition.host + " is in no work";
  return host->stage == required ? std::string() : wrong_stage(*host);
}

}  // namespace lotusyard::maintenance
