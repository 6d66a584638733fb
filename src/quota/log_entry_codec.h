// JSON form of quota log entries.
#pragma once

#include <optional>
#include <string>

#include "quota/log_entry.h"

namespace lotusyard::quota {

std::string encode_entry(const LogEntry& entry);

// Empty if the text is not a valid entry.
std::optional<LogEntry> parse_entry(const std::string& text);

}  // namespace lotusyard::quota
