#include "raft/replicated_state_machine.h"

#include <nlohmann/json.hpp>

namespace lotusyard::raft {
namespace {

constexpr const char* kFirst = "works";  // the one part that there was before there were kinds
constexpr char kMark = '\n';             // no wording of that time holds one

}  // namespace

std::string tag_entry(const std::string& kind, const std::string& text) { return kind + kMark + text; }

std::pair<std::string, std::string> untag_entry(const std::string& from) {
  const auto mark = from.find(kMark);
  if (mark == std::string::npos) return {kFirst, from};
  return {from.substr(0, mark), from.substr(mark + 1)};
}

std::string encode_snapshots(const std::map<std::string, std::string>& snapshots) {
  return nlohmann::json{{"parts", snapshots}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::map<std::string, std::string>> decode_snapshots(const std::string& snapshot) {
  const auto read = nlohmann::json::parse(snapshot, nullptr, false);
  if (!read.is_object()) return std::nullopt;
  std::map<std::string, std::string> out;
  const auto parts = read.find("parts");
  if (parts == read.end()) {
    out.emplace(kFirst, snapshot);
    return out;
  }
  if (!parts->is_object()) return std::nullopt;
  for (const auto& [kind, text] : parts->items()) {
    if (!text.is_string()) return std::nullopt;
    out.emplace(kind, text.get<std::string>());
  }
  return out;
}

}  // namespace lotusyard::raft
