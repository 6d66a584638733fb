// Sample values of maintenance and compliance that more than one part of the golden files needs.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "compliance/book.h"
#include "works/board.h"

namespace lotusyard::golden {

works::Work sample_job();
works::Beat sample_heartbeat();
std::vector<std::pair<std::string, works::Entry>> sample_maintenance_entries();
// With jobs in several states and a host in each stage.
works::Board sample_maintenance_state();

std::vector<std::pair<std::string, compliance::Entry>> sample_compliance_entries();
compliance::Book sample_compliance_state();

}  // namespace lotusyard::golden
