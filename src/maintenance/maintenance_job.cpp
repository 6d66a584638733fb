#include "maintenance/maintenance_job.h"

#include <array>
#include <cmath>
#include <set>
#include <stdexcept>

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxHosts = 4096;
constexpr std::array<const char*, 4> kStateNames{"running", "paused", "done", "cancelled"};

[[noreturn]] void reject(const std::string& key, const std::string& what) {
  throw std::invalid_argument(key + ": " + what);
}

std::string parse_text(const json& from, const char* key, const std::string& path, bool required) {
  const auto found = from.find(key);
  if (found == from.end() || found->is_null()) {
    if (required)
      reject(path, "a text is needed");
    return {};
  }
  if (!found->is_string())
    reject(path, "a text is needed");
  const auto& read = found->get_ref<const std::string&>();
  if ((required && read.empty()) || read.size() > kMaxNameBytes)
    reject(path, "1 to 128 bytes are needed");
  for (const char c : read) {
    if (static_cast<unsigned char>(c) < 0x21 || static_cast<unsigned char>(c) > 0x7e)
      reject(path, "printable ASCII without blanks is needed");
  }
  return read;
}

double parse_number(const json& from, const char* key, const std::string& path, double fallback, double least,
                    double most) {
  const auto found = from.find(key);
  if (found == from.end() || found->is_null())
    return fallback;
  if (!found->is_number())
    reject(path, "a number is needed");
  const double read = found->get<double>();
  if (!(read >= least && read <= most))
    reject(path, "must lie between " + json(least).dump() + " and " + json(most).dump());
  return read;
}

int parse_integer(const json& from, const char* key, const std::string& path, int fallback, int least,
                  int most) {
  const double read = parse_number(from, key, path, fallback, least, most);
  if (read != std::floor(read))
    reject(path, "a whole number is needed");
  return static_cast<int>(read);
}

}  // namespace

const char* name_of(MaintenanceJob::State state) { return kStateNames[static_cast<std::size_t>(state)]; }

MaintenanceJob::State parse_job_state(const json& from) {
  if (!from.is_string())
    reject("state", "no such state");
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (from.get_ref<const std::string&>() == kStateNames[i])
      return static_cast<MaintenanceJob::State>(i);
  }
  reject("state", "no such state");
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

DisruptionBounds parse_bounds(const json& from) {
  if (!from.is_object())
    reject("bounds", "an object is needed");
  DisruptionBounds out;
  out.max_out = parse_integer(from, "out", "out", out.max_out, 1, 4096);
  out.max_out_per_zone = parse_integer(from, "zone", "zone", out.max_out_per_zone, 0, 4096);
  out.max_out_per_kind = parse_integer(from, "kind", "kind", out.max_out_per_kind, 0, 4096);
  out.min_usable_share = parse_number(from, "usable", "usable", out.min_usable_share, 0, 1);
  out.max_time_out = Millis(parse_number(from, "away_ms", "away_ms", out.max_time_out.count(), 1, 1e10));
  out.pause = Millis(parse_number(from, "pause_ms", "pause_ms", out.pause.count(), 0, 1e10));
  const auto answers = from.find("answers");
  if (answers != from.end() && !answers->is_boolean())
    reject("answers", "true or false is needed");
  out.restart_is_return = answers != from.end() && answers->get<bool>();
  return out;
}

json job_to_json(const MaintenanceJob& job) {
  json hosts = json::array();
  for (const auto& host : job.hosts)
    hosts.push_back({host.id, host.zone, host.kind});
  return {{"id", job.id},
          {"hosts", hosts},
          {"bounds", bounds_to_json(job.bounds)},
          {"state", name_of(job.state)}};
}

MaintenanceJob parse_job(const json& from) {
  if (!from.is_object())
    reject("work", "an object is needed");
  MaintenanceJob out;
  out.id = parse_text(from, "id", "id", true);
  const auto hosts = from.find("hosts");
  if (hosts == from.end() || !hosts->is_array() || hosts->empty())
    reject("hosts", "at least one is needed");
  if (hosts->size() > kMaxHosts)
    reject("hosts", "too many");
  std::set<std::string> seen;
  for (const auto& row : *hosts) {
    if (!row.is_array() || row.size() != 3 || !row[0].is_string() || !row[1].is_string() ||
        !row[2].is_string())
      reject("hosts", "each has an id, a zone and a kind");
    HostKey host{row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<std::string>()};
    if (host.id.empty() || host.id.size() > kMaxNameBytes)
      reject("hosts", "an id has 1 to 128 bytes");
    if (!seen.insert(host.id).second)
      reject("hosts", host.id + " stands twice");
    out.hosts.push_back(std::move(host));
  }
  out.bounds = parse_bounds(from.value("bounds", json::object()));
  const auto state = from.find("state");
  if (state != from.end())
    out.state = parse_job_state(*state);
  return out;
}

}  // namespace lotusyard::maintenance
