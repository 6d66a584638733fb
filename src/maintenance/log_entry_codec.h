// JSON encoding of log entries, which is the same in the log and between members. Does no I/O.
#pragma once

#include <optional>
#include <string>

#include "maintenance/log_entry.h"

namespace lotusyard::maintenance {

constexpr std::size_t kMaxEntryBytes = 256 * 1024;  // size limit of an encoded entry

std::string encode_entry(const LogEntry& entry);
// Returns nothing if the text is too long, malformed, or of a kind unknown to this version.
std::optional<LogEntry> parse_entry(const std::string& text);

}  // namespace lotusyard::maintenance
