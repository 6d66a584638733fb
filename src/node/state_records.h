// Conversion between the replicated state of the group and the records that sessions carry: hosts and jobs of
// maintenance; regimes, tenants and certificates of compliance. No I/O.
#pragma once

#include <optional>

#include "compliance/certificate_state.h"
#include "control/change.h"
#include "control/message.h"
#include "maintenance/maintenance_state.h"

namespace lotusyard::node {

// Keys are `<kind>/<name>`, values are JSON.
control::Records records_of(const maintenance::MaintenanceState& maintenance,
                            const compliance::CertificateState& certificates);

// The state that `records` describe at log index `index`. Nothing if they can't be read, which means that
// another version of the program has written them. Members and outcomes of requests are not part of the
// records.
std::optional<maintenance::MaintenanceState> maintenance_state_from(const control::Records& records,
                                                                    control::Index index,
                                                                    maintenance::Millis now);
std::optional<compliance::CertificateState> certificate_state_from(const control::Records& records,
                                                                   control::Index index);

}  // namespace lotusyard::node
