#include "maintenance/log_line.h"

namespace lotusyard::maintenance {
namespace {

std::string word(const char* key, const std::string& value) {
  return value.empty() ? std::string() : std::string(" ") + key + '=' + value;
}

std::string describe(const Join& command) { return word("of", command.member); }
std::string describe(const Leave& command) { return word("of", command.member); }
std::string describe(const AddJob& command) {
  return command.job ? " work=" + command.job->id : std::string();
}
std::string describe(const ChangeJobState& command) {
  return word("work", command.job) + " state=" + name_of(command.state);
}
std::string describe(const ChangeBounds& command) { return word("work", command.job); }
std::string describe(const SelectHosts& command) { return word("work", command.job); }
std::string describe(const HostTransition& command) {
  return word("work", command.job) + word("host", command.host);
}
std::string describe(const RecordHeartbeats&) { return {}; }
std::string describe(const ReadBarrier&) { return {}; }

}  // namespace

std::string describe_applied_entry(const LogEntry& entry, const ProposalOutcome& outcome) {
  const std::string fields = std::visit([](const auto& command) { return describe(command); }, entry.command);
  return std::string(name_of(entry.command)) + (outcome.done ? "" : " refused") + fields + " reason=\"" +
         (outcome.done ? entry.reason : outcome.why) + '"';
}

}  // namespace lotusyard::maintenance
