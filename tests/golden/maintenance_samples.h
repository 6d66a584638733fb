// Sample values of maintenance and compliance that are used in several golden files.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "compliance/certificate_state.h"
#include "compliance/log_entry_codec.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::golden {

maintenance::MaintenanceJob sample_job();
maintenance::Heartbeat sample_heartbeat();
std::vector<std::pair<std::string, maintenance::LogEntry>> sample_maintenance_entries();
// With jobs in several states and a host in each stage.
maintenance::MaintenanceState sample_maintenance_state();

std::vector<std::pair<std::string, compliance::LogEntry>> sample_compliance_entries();
compliance::CertificateState sample_compliance_state();

}  // namespace lotusyard::golden
