#include "maintenance/log_entry_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

// In the order of the alternatives of Command.
constexpr std::array<const char*, std::variant_size_v<Command>> kNames{
    "beats", "join",  "leave",    "add",  "alter", "bounds", "name",
    "take",  "touch", "returned", "back", "late",  "ask"};

void set_text(json& out, const char* key, const std::string& value) {
  if (!value.empty())
    out[key] = value;
}

// ---- Encoding: each function adds the fields of one command ----

void encode(const RecordHeartbeats& command, json& out) {
  for (const auto& heartbeat : command.heartbeats)
    out["beats"].push_back(heartbeat_to_json(heartbeat));
}

void encode(const Join& command, json& out) {
  set_text(out, "member", command.member);
  if (command.incarnation != 0)
    out["life"] = command.incarnation;
  if (!command.serves)
    out["serves"] = false;
}

void encode(const Leave& command, json& out) { set_text(out, "member", command.member); }

void encode(const AddJob& command, json& out) {
  if (command.job)
    out["added"] = job_to_json(*command.job);
}

void encode(const ChangeJobState& command, json& out) {
  set_text(out, "work", command.job);
  out["state"] = name_of(command.state);
}

void encode(const ChangeBounds& command, json& out) {
  set_text(out, "work", command.job);
  if (command.bounds)
    out["bounds"] = bounds_to_json(*command.bounds);
}

void encode(const SelectHosts& command, json& out) {
  set_text(out, "work", command.job);
  if (!command.hosts.empty())
    out["hosts"] = command.hosts;
}

void encode(const HostTransition& command, json& out) {
  set_text(out, "work", command.job);
  set_text(out, "host", command.host);
  if (command.selected_at_index != 0)
    out["round"] = command.selected_at_index;
}

void encode(const ReadBarrier&, json&) {}

// ---- Decoding ----

// The fields that an entry may have. All are checked whatever the command, so that an entry is rejected by
// every version or by none.
struct Fields {
  std::string job, host, member;
  std::uint64_t incarnation = 0;
  std::uint64_t selected_at_index = 0;
  bool serves = true;
  std::vector<std::string> hosts;
  std::optional<MaintenanceJob> added_job;
  std::optional<DisruptionBounds> bounds;
  std::vector<Heartbeat> heartbeats;
};

std::vector<Heartbeat> parse_heartbeats(const json& rows) {
  std::vector<Heartbeat> out;
  for (const auto& row : rows) {
    auto heartbeat = parse_heartbeat(row);
    if (!heartbeat)
      throw std::invalid_argument("beats: malformed");
    out.push_back(std::move(*heartbeat));
  }
  return out;
}

Fields parse_fields(const json& from) {
  Fields out;
  out.job = from.value("work", std::string());
  out.host = from.value("host", std::string());
  out.member = from.value("member", std::string());
  out.incarnation = from.value("life", std::uint64_t{0});
  out.selected_at_index = from.value("round", std::uint64_t{0});
  out.serves = from.value("serves", true);
  out.hosts = from.value("hosts", std::vector<std::string>());
  if (from.contains("added"))
    out.added_job = parse_job(from.at("added"));
  if (from.contains("bounds"))
    out.bounds = parse_bounds(from.at("bounds"));
  out.heartbeats = parse_heartbeats(from.value("beats", json::array()));
  return out;
}

void decode(Fields&& from, const json&, RecordHeartbeats& out) {
  out.heartbeats = std::move(from.heartbeats);
}

void decode(Fields&& from, const json&, Join& out) {
  out.member = std::move(from.member);
  out.incarnation = from.incarnation;
  out.serves = from.serves;
}

void decode(Fields&& from, const json&, Leave& out) { out.member = std::move(from.member); }

void decode(Fields&& from, const json&, AddJob& out) { out.job = std::move(from.added_job); }

void decode(Fields&& from, const json& encoded, ChangeJobState& out) {
  out.job = std::move(from.job);
  out.state = parse_job_state(encoded.value("state", json()));
}

void decode(Fields&& from, const json&, ChangeBounds& out) {
  out.job = std::move(from.job);
  out.bounds = from.bounds;
}

void decode(Fields&& from, const json&, SelectHosts& out) {
  out.job = std::move(from.job);
  out.hosts = std::move(from.hosts);
}

void decode(Fields&& from, const json&, HostTransition& out) {
  out.job = std::move(from.job);
  out.host = std::move(from.host);
  out.selected_at_index = from.selected_at_index;
}

void decode(Fields&&, const json&, ReadBarrier&) {}

template <std::size_t... index>
std::optional<Command> make_command(std::size_t wanted, std::index_sequence<index...>) {
  std::optional<Command> out;
  ((index == wanted ? void(out.emplace(std::in_place_index<index>)) : void()), ...);
  return out;
}

// The command of this name, without its fields; nothing if there is none.
std::optional<Command> find_command(const json& name) {
  if (!name.is_string())
    return std::nullopt;
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (name.get_ref<const std::string&>() == kNames[i])
      return make_command(i, std::make_index_sequence<std::variant_size_v<Command>>());
  }
  return std::nullopt;
}

}  // namespace

const char* name_of(const Command& command) { return kNames[command.index()]; }

std::string encode_entry(const LogEntry& entry) {
  json out = {{"t", name_of(entry.command)}};
  set_text(out, "id", entry.proposal);
  set_text(out, "reason", entry.reason);
  std::visit([&](const auto& command) { encode(command, out); }, entry.command);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<LogEntry> parse_entry(const std::string& text) {
  if (text.size() > kMaxEntryBytes)
    return std::nullopt;
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object())
    return std::nullopt;
  try {
    auto command = find_command(from.value("t", json()));
    if (!command)
      return std::nullopt;
    LogEntry out;
    out.proposal = from.value("id", std::string());
    out.reason = from.value("reason", std::string());
    Fields fields = parse_fields(from);
    std::visit([&](auto& typed) { decode(std::move(fields), from, typed); }, *command);
    out.command = std::move(*command);
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace lotusyard::maintenance
