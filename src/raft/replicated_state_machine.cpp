#include "raft/replicated_state_machine.h"

#include <nlohmann/json.hpp>

namespace lotusyard::raft {
namespace {

// Entries and snapshots of the time when maintenance was the only state machine have no tag. Its name is
// stored and sent as "works".
constexpr const char* kUntaggedName = "works";
constexpr char kTagSeparator = '\n';  // no entry of that time contains one
constexpr const char* kSnapshotsKey = "parts";

}  // namespace

std::string tag_entry(const std::string& name, const std::string& text) {
  return name + kTagSeparator + text;
}

std::pair<std::string, std::string> untag_entry(const std::string& tagged) {
  const auto separator = tagged.find(kTagSeparator);
  if (separator == std::string::npos) {
    return {kUntaggedName, tagged};
  }
  return {tagged.substr(0, separator), tagged.substr(separator + 1)};
}

std::string encode_snapshots(const std::map<std::string, std::string>& snapshots) {
  return nlohmann::json{{kSnapshotsKey, snapshots}}.dump(-1, ' ', false,
                                                         nlohmann::json::error_handler_t::replace);
}

std::optional<std::map<std::string, std::string>> decode_snapshots(const std::string& snapshot) {
  const auto document = nlohmann::json::parse(snapshot, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  const auto snapshots = document.find(kSnapshotsKey);
  if (snapshots == document.end()) {
    return std::map<std::string, std::string>{{kUntaggedName, snapshot}};
  }
  if (!snapshots->is_object()) {
    return std::nullopt;
  }
  std::map<std::string, std::string> out;
  for (const auto& [name, text] : snapshots->items()) {
    if (!text.is_string()) {
      return std::nullopt;
    }
    out.emplace(name, text.get<std::string>());
  }
  return out;
}

}  // namespace lotusyard::raft
