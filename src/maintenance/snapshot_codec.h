// JSON encoding of the replicated maintenance state, for the snapshots of the log. Does no I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "maintenance/maintenance_records.h"

namespace lotusyard::maintenance {

nlohmann::json encode_snapshot(const MaintenanceRecords& records);

// Nothing if the snapshot is malformed. Times are not part of a snapshot; they are set to `now`.
std::optional<MaintenanceRecords> decode_snapshot(const nlohmann::json& from, Millis now);

}  // namespace lotusyard::maintenance
