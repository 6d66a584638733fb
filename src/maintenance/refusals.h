// Why commands of the log are refused, as texts for operators. Does no I/O.
#pragma once

#include <string>

#include "maintenance/maintenance_records.h"

namespace lotusyard::maintenance {

// Whether a job in this state can no longer be changed.
bool is_final(MaintenanceJob::State state);

// Why a job cannot be changed; empty if it can. `job` is null if there is no job `id`.
std::string change_refusal(const MaintenanceJob* job, const std::string& id);

// The refusal of a command that requires another stage than the host's present one.
std::string wrong_stage(const HostProgress& host);

// Why a host cannot leave the stage `required`; empty if it is in that stage. `host` is null if the host of
// the transition belongs to no job.
std::string stage_refusal(const HostProgress* host, const HostTransition& transition, HostStage required);

}  // namespace lotusyard::maintenance
