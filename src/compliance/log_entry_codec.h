// JSON form of compliance log entries, as proposed by operators, sent to the leader and stored in the log.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "compliance/log_entry.h"

namespace lotusyard::compliance {

std::string encode_entry(const LogEntry& entry);

// Throws std::invalid_argument whose text begins with the key at fault, as operators are shown it.
LogEntry parse_entry(const nlohmann::json& from);

}  // namespace lotusyard::compliance
