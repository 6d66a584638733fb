#include "maintenance/log_entry.h"

#include <array>
#include <cmath>
#include <stdexcept>

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

constexpr std::size_t kLongestName = 128;
constexpr std::size_t kHostsMost = 4096;
constexpr std::array<const char*, 13> kKinds{"beats", "join",  "leave",    "add",  "alter", "bounds", "name",
                                             "take",  "touch", "returned", "back", "late",  "ask"};
constexpr std::array<const char*, 4> kStates{"running", "paused", "done", "cancelled"};

template <typename Enum, std::size_t size>
std::optional<Enum> word(const std::array<const char*, size>& words, const json& from) {
  if (!from.is_string()) return std::nullopt;
  for (std::size_t i = 0; i < size; ++i) {
    if (from.get_ref<const std::string&>() == words[i]) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

[[noreturn]] void fault(const std::string& key, const std::string& what) {
  throw std::invalid_argument(key + ": " + what);
}

std::string text_of(const json& from, const char* key, const std::string& path, bool needed) {
  const auto found = from.find(key);
  if (found == from.end() || found->is_null()) {
    if (needed) fault(path, "a text is needed");
    return {};
  }
  if (!found->is_string()) fault(path, "a text is needed");
  const auto& read = found->get_ref<const std::string&>();
  if ((needed && read.empty()) || read.size() > kLongestName) fault(path, "1 to 128 bytes are needed");
  for (const char c : read) {
    if (static_cast<unsigned char>(c) < 0x21 || static_cast<unsigned char>(c) > 0x7e)
      fault(path, "printable ASCII without blanks is needed");
  }
  return read;
}

double number_of(const json& from, const char* key, const std::string& path, double missing, double least,
                 double most) {
  const auto found = from.find(key);
  if (found == from.end() || found->is_null()) return missing;
  if (!found->is_number()) fault(path, "a number is needed");
  const double read = found->get<double>();
  if (!(read >= least && read <= most))
    fault(path, "must lie between " + json(least).dump() + " and " + json(most).dump());
  return read;
}

int whole_of(const json& from, const char* key, const std::string& path, int missing, int least, int most) {
  const double read = number_of(from, key, path, missing, least, most);
  if (read != std::floor(read)) fault(path, "a whole number is needed");
  return static_cast<int>(read);
}

json worded_bounds(const DisruptionBounds& b) {
  return {{"out", b.max_out},
          {"zone", b.max_out_per_zone},
          {"kind", b.max_out_per_kind},
          {"usable", b.min_usable_share},
          {"away_ms", b.max_time_out.count()},
          {"pause_ms", b.pause.count()},
          {"answers", b.restart_is_return}};
}

json worded_view(const HostObservations& v) {
  return {{"cost", v.serving_value},     {"down", v.down},
          {"reborn", v.restarted},       {"served", v.served},
          {"asked", v.calls_per_second}, {"lost", v.failed_per_second},
          {"listed", v.listed_hosts}};
}

HostObservations read_view(const json& from) {
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

json heartbeat_to_json(const Heartbeat& beat) {
  json out = {{"m", beat.member}, {"l", beat.incarnation}, {"s", beat.sent_at}, {"h", beat.applied_index}};
  if (!beat.drained_hosts.empty()) out["d"] = beat.drained_hosts;
  if (beat.observations) out["v"] = worded_view(*beat.observations);
  if (beat.followed_index) out["f"] = *beat.followed_index;
  return out;
}

std::optional<Heartbeat> parse_heartbeat(const json& from) {
  try {
    Heartbeat out;
    from.at("m").get_to(out.member);
    from.at("l").get_to(out.incarnation);
    from.at("s").get_to(out.sent_at);
    from.at("h").get_to(out.applied_index);
    if (out.member.empty() || out.member.size() > kLongestName || !std::isfinite(out.sent_at))
      return std::nullopt;
    if (from.contains("d")) from.at("d").get_to(out.drained_hosts);
    if (from.contains("v")) out.observations = read_view(from.at("v"));
    if (from.contains("f")) out.followed_index = from.at("f").get<std::uint64_t>();
    return out;
  } catch (const json::exception&) { return std::nullopt; }
}

DisruptionBounds parse_bounds(const json& from) {
  if (!from.is_object()) fault("bounds", "an object is needed");
  DisruptionBounds out;
  out.max_out = whole_of(from, "out", "out", out.max_out, 1, 4096);
  out.max_out_per_zone = whole_of(from, "zone", "zone", out.max_out_per_zone, 0, 4096);
  out.max_out_per_kind = whole_of(from, "kind", "kind", out.max_out_per_kind, 0, 4096);
  out.min_usable_share = number_of(from, "usable", "usable", out.min_usable_share, 0, 1);
  out.max_time_out = Millis(number_of(from, "away_ms", "away_ms", out.max_time_out.count(), 1, 1e10));
  out.pause = Millis(number_of(from, "pause_ms", "pause_ms", out.pause.count(), 0, 1e10));
  const auto answers = from.find("answers");
  if (answers != from.end() && !answers->is_boolean()) fault("answers", "true or false is needed");
  out.restart_is_return = answers != from.end() && answers->get<bool>();
  return out;
}

json job_to_json(const MaintenanceJob& work) {
  json hosts = json::array();
  for (const auto& h : work.hosts) hosts.push_back({h.id, h.zone, h.kind});
  return {{"id", work.id},
          {"hosts", hosts},
          {"bounds", worded_bounds(work.bounds)},
          {"state", name_of(work.state)}};
}

MaintenanceJob parse_job(const json& from) {
  if (!from.is_object()) fault("work", "an object is needed");
  MaintenanceJob out;
  out.id = text_of(from, "id", "id", true);
  const auto hosts = from.find("hosts");
  if (hosts == from.end() || !hosts->is_array() || hosts->empty()) fault("hosts", "at least one is needed");
  if (hosts->size() > kHostsMost) fault("hosts", "too many");
  std::set<std::string> seen;
  for (const auto& row : *hosts) {
    if (!row.is_array() || row.size() != 3 || !row[0].is_string() || !row[1].is_string() ||
        !row[2].is_string())
      fault("hosts", "each has an id, a zone and a kind");
    HostKey host{row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<std::string>()};
    if (host.id.empty() || host.id.size() > kLongestName) fault("hosts", "an id has 1 to 128 bytes");
    if (!seen.insert(host.id).second) fault("hosts", host.id + " stands twice");
    out.hosts.push_back(std::move(host));
  }
  out.bounds = parse_bounds(from.value("bounds", json::object()));
  const auto state = from.find("state");
  if (state != from.end()) {
    const auto read = word<MaintenanceJob::State>(kStates, *state);
    if (!read) fault("state", "no such state");
    out.state = *read;
  }
  return out;
}

std::string encode_entry(const LogEntry& e) {
  json out = {{"t", name_of(e.kind)}};
  const auto text = [&](const char* key, const std::string& value) {
    if (!value.empty()) out[key] = value;
  };
  text("id", e.proposal);
  text("work", e.job);
  text("host", e.host);
  text("member", e.member);
  text("reason", e.reason);
  if (e.incarnation != 0) out["life"] = e.incarnation;
  if (e.selected_at_index != 0) out["round"] = e.selected_at_index;
  if (!e.serves) out["serves"] = false;
  if (e.kind == LogEntry::Kind::change_job_state) out["state"] = name_of(e.state);
  if (!e.hosts.empty()) out["hosts"] = e.hosts;
  if (e.added_job) out["added"] = job_to_json(*e.added_job);
  if (e.bounds) out["bounds"] = worded_bounds(*e.bounds);
  for (const auto& beat : e.heartbeats) out["beats"].push_back(heartbeat_to_json(beat));
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<LogEntry> parse_entry(const std::string& wording) {
  if (wording.size() > max_entry_bytes) return std::nullopt;
  const json from = json::parse(wording, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  const auto kind = word<LogEntry::Kind>(kKinds, from.value("t", json()));
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
      const auto state = word<MaintenanceJob::State>(kStates, from.value("state", json()));
      if (!state) return std::nullopt;
      out.state = *state;
    }
    if (from.contains("added")) out.added_job = parse_job(from.at("added"));
    if (from.contains("bounds")) out.bounds = parse_bounds(from.at("bounds"));
    for (const auto& row : from.value("beats", json::array())) {
      auto beat = parse_heartbeat(row);
      if (!beat) return std::nullopt;
      out.heartbeats.push_back(std::move(*beat));
    }
  } catch (const std::exception&) { return std::nullopt; }
  return out;
}

}  // namespace lotusyard::maintenance
