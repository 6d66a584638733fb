// The records that invokers without a place in the log are given: hosts and works of the board, regimes,
// tenants and certificates of the book, and back again.
#pragma once

#include <optional>

#include "compliance/certificate_state.h"
#include "control/change.h"
#include "control/message.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::node {

control::Records records_of(const maintenance::MaintenanceState& board,
                            const compliance::CertificateState& book);

// Nothing: the records are of another version of the program.
std::optional<maintenance::MaintenanceState> maintenance_state_from(const control::Records& records,
                                                                    control::Index index,
                                                                    maintenance::Millis now);
std::optional<compliance::CertificateState> certificate_state_from(const control::Records& records,
                                                                   control::Index index);

}  // namespace lotusyard::node
