#include "maintenance/log_entry.h"

#include <array>
#include <cmath>
#include <stdexcept>

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxHosts = 4096;
constexpr std::array<const char*, 13> kKinds{"beats", "join",  "leave",    "add",  "alter", "bounds", "name",
                                             "take",  "touch", "returned", "back", "late",  "ask"};
constexpr std::array<const char*, 4> kStates{"running", "paused", "done", "cancelled"};

template <typename Enum, std::size_t size>
std::optional<Enum> parse_name(const std::array<const char*, size>& names, const json& from) {
  if (!from.is_string()) return std::nullopt;
  for (std::size_t i = 0; i < size; ++i) {
    if (from.get_ref<const std::string&>() == names[i]) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

[[noreturn]] void reject(const std::string& key, const std::string& what) {
  throw std::invalid_argument(key + ": " + what);
}

std::string parse_text(const json& from, const char* key, const std::string& path, bool required) {
  const auto found = from.find(key);
  if (found == from.end() || found->is_null()) {
    if (required) reject(path, "a text is needed");
    return {};
  }
  if (!found->is_string()) reject(path, "a text is needed");
  const auto& read = found->get_ref<const std::string&>();
  if ((required && read.empty()) || read.size() > kMaxNameBytes) reject(path, "1 to 128 bytes are needed");
  for (const char c : read) {
    if (static_cast<unsigned char>(c) < 0x21 || static_cast<unsigned char>(c) > 0x7e)
      reject(path, "printable ASCII without blanks is needed");
  }
  return read;
}

double parse_number(const json& from, const char* key, const std::string& path, double fallback, double least,
                    double most) {
  const auto found = from.find(key);
  if (found == from.end() || found->is_null()) return fallback;
  if (!found->is_number()) reject(path, "a number is needed");
  const double read = found->get<double>();
  if (!(read >= least && read <= most))
    reject(path, "must lie between " + json(least).dump() + " and " + json(most).dump());
  return read;
}

int parse_integer(const json& from, const char* key, const std::string& path, int fallback, int least,
                  int most) {
  const double read = parse_number(from, key, path, fallback, least, most);
  if (read != std::floor(read)) reject(path, "a whole number is needed");
  return static_cast<int>(read);
}

json bounds_to_json(const DisruptionBounds& bounds) {
  return {{"out", bounds.max_out},
          {"zone", bounds.max_out_per_zone},
          {"kind", bounds.max_out_per_kind},
          {"usable", bounds.min_usable_share},
          {"away_ms", bounds.max_time_out.count()},
          {"pause_ms", bounds.pause.count()},
          {"answers", bounds.restart_is_return}};
}

json observations_to_json(const HostObservations& observations) {
  return {{"cost", observations.serving_value},     {"down", observations.down},
          {"reborn", observations.restarted},       {"served", observations.served},
          {"asked", observations.calls_per_second}, {"lost", observations.failed_per_second},
          {"listed", observations.listed_hosts}};
}

HostObservations parse_observations(const json& from) {
  HostObservations out;
  from.at("cost").get_to(out.serving_value);
  from.at("down").get_to(out.down);
  from.at("reborn").get_to(out.restarted);
  from.at("served").get_to(out.served);
  from.at("asked").get_to(out.calls_per_second);
  from.at("lost").get_to(out.failed_per_second);
  from.at("listed").get_to(out.listed_hosts);
  return out;
}

}  // namespace

const char* name_of(MaintenanceJob::State state) { return kStates[static_cast<std::size_t>(state)]; }
const char* name_of(LogEntry::Kind kind) { return kKinds[static_cast<std::size_t>(kind)]; }

json heartbeat_to_json(const Heartbeat& heartbeat) {
  json out = {{"m", heartbeat.member},
              {"l", heartbeat.incarnation},
              {"s", heartbeat.sent_at},
              {"h", heartbeat.applied_index}};
  if (!heartbeat.drained_hosts.empty()) out["d"] = heartbeat.drained_hosts;
  if (heartbeat.observations) out["v"] = observations_to_json(*heartbeat.observations);
  if (heartbeat.followed_index) out["f"] = *heartbeat.followed_index;
  return out;
}

std::optional<Heartbeat> parse_heartbeat(const json& from) {
  try {
    Heartbeat out;
    from.at("m").get_to(out.member);
    from.at("l").get_to(out.incarnation);
    from.at("s").get_to(out.sent_at);
    from.at("h").get_to(out.applied_index);
    if (out.member.empty() || out.member.size() > kMaxNameBytes || !std::isfinite(out.sent_at))
      return std::nullopt;
    if (from.contains("d")) from.at("d").get_to(out.drained_hosts);
    if (from.contains("v")) out.observations = parse_observations(from.at("v"));
    if (from.contains("f")) out.followed_index = from.at("f").get<std::uint64_t>();
    return out;
  } catch (const json::exception&) { return std::nullopt; }
}

DisruptionBounds parse_bounds(const json& from) {
  if (!from.is_object()) reject("bounds", "an object is needed");
  DisruptionBounds out;
  out.max_out = parse_integer(from, "out", "out", out.max_out, 1, 4096);
  out.max_out_per_zone = parse_integer(from, "zone", "zone", out.max_out_per_zone, 0, 4096);
  out.max_out_per_kind = parse_integer(from, "kind", "kind", out.max_out_per_kind, 0, 4096);
  out.min_usable_share = parse_number(from, "usable", "usable", out.min_usable_share, 0, 1);
  out.max_time_out = Millis(parse_number(from, "away_ms", "away_ms", out.max_time_out.count(), 1, 1e10));
  out.pause = Millis(parse_number(from, "pause_ms", "pause_ms", out.pause.count(), 0, 1e10));
  const auto answers = from.find("answers");
  if (answers != from.end() && !answers->is_boolean()) reject("answers", "true or false is needed");
  out.restart_is_return = answers != from.end() && answers->get<bool>();
  return out;
}

json job_to_json(const MaintenanceJob& job) {
  json hosts = json::array();
  for (const auto& host : job.hosts) hosts.push_back({host.id, host.zone, host.kind});
  return {{"id", job.id},
          {"hosts", hosts},
          {"bounds", bounds_to_json(job.bounds)},
          {"state", name_of(job.state)}};
}

MaintenanceJob parse_job(const json& from) {
  if (!from.is_object()) reject("work", "an object is needed");
  MaintenanceJob out;
  out.id = parse_text(from, "id", "id", true);
  const auto hosts = from.find("hosts");
  if (hosts == from.end() || !hosts->is_array() || hosts->empty()) reject("hosts", "at least one is needed");
  if (hosts->size() > kMaxHosts) reject("hosts", "too many");
  std::set<std::string> seen;
  for (const auto& row : *hosts) {
    if (!row.is_array() || row.size() != 3 || !row[0].is_string() || !row[1].is_string() ||
        !row[2].is_string())
      reject("hosts", "each has an id, a zone and a kind");
    HostKey host{row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<std::string>()};
    if (host.id.empty() || host.id.size() > kMaxNameBytes) reject("hosts", "an id has 1 to 128 bytes");
    if (!seen.insert(host.id).second) reject("hosts", host.id + " stands twice");
    out.hosts.push_back(std::move(host));
  }
  out.bounds = parse_bounds(from.value("bounds", json::object()));
  const auto state = from.find("state");
  if (state != from.end()) {
    const auto read = parse_name<MaintenanceJob::State>(kStates, *state);
    if (!read) reject("state", "no such state");
    out.state = *read;
  }
  return out;
}

std::string encode_entry(const LogEntry& entry) {
  json out = {{"t", name_of(entry.kind)}};
  const auto set_text = [&](const char* key, const std::string& value) {
    if (!value.empty()) out[key] = value;
  };
  set_text("id", entry.proposal);
  set_text("work", entry.job);
  set_text("host", entry.host);
  set_text("member", entry.member);
  set_text("reason", entry.reason);
  if (entry.incarnation != 0) out["life"] = entry.incarnation;
  if (entry.selected_at_index != 0) out["round"] = entry.selected_at_index;
  if (!entry.serves) out["serves"] = false;
  if (entry.kind == LogEntry::Kind::change_job_state) out["state"] = name_of(entry.state);
  if (!entry.hosts.empty()) out["hosts"] = entry.hosts;
  if (entry.added_job) out["added"] = job_to_json(*entry.added_job);
  if (entry.bounds) out["bounds"] = bounds_to_json(*entry.bounds);
  for (const auto& heartbeat : entry.heartbeats) out["beats"].push_back(heartbeat_to_json(heartbeat));
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<LogEntry> parse_entry(const std::string& text) {
  if (text.size() > kMaxEntryBytes) return std::nullopt;
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  const auto kind = parse_name<LogEntry::Kind>(kKinds, from.value("t", json()));
  if (!kind) return std::nullopt;
  LogEntry out;
  out.kind = *kind;
  try {
    out.proposal = from.value("id", std::string());
    out.job = from.value("work", std::string());
    out.host = from.value("host", std::string());
    out.member = from.value("member", std::string());
    out.reason = from.value("reason", std::string());
    out.incarnation = from.value("life", std::uint64_t{0});
    out.selected_at_index = from.value("round", std::uint64_t{0});
    out.serves = from.value("serves", true);
    out.hosts = from.value("hosts", std::vector<std::string>());
    if (out.kind == LogEntry::Kind::change_job_state) {
      const auto state = parse_name<MaintenanceJob::State>(kStates, from.value("state", json()));
      if (!state) return std::nullopt;
      out.state = *state;
    }
    if (from.contains("added")) out.added_job = parse_job(from.at("added"));
    if (from.contains("bounds")) out.bounds = parse_bounds(from.at("bounds"));
    for (const auto& row : from.value("beats", json::array())) {
      auto heartbeat = parse_heartbeat(row);
      if (!heartbeat) return std::nullopt;
      out.heartbeats.push_back(std::move(*heartbeat));
    }
  } catch (const std::exception&) { return std::nullopt; }
  return out;
}

}  // namespace lotusyard::maintenance
