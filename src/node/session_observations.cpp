#include "node/session_observations.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace lotusyard::node {
namespace {

using maintenance::HostObservations;
using nlohmann::json;

void merge(HostObservations& into, const HostObservations& other) {
  for (const auto& [host, value] : other.serving_value)
    into.serving_value[host] += value;
  into.down.insert(other.down.begin(), other.down.end());
  into.restarted.insert(other.restarted.begin(), other.restarted.end());
  into.served.insert(other.served.begin(), other.served.end());
  into.calls_per_second += other.calls_per_second;
  into.failed_per_second += other.failed_per_second;
  // The least number counts, because it bounds how many hosts may be out of service. 0: not known.
  if (other.listed_hosts <= 0)
    return;
  const bool is_first = into.listed_hosts <= 0;
  into.listed_hosts = is_first ? other.listed_hosts : std::min(into.listed_hosts, other.listed_hosts);
}

std::size_t largest_list(const HostObservations& observations) {
  return std::max({observations.serving_value.size(), observations.down.size(), observations.restarted.size(),
                   observations.served.size()});
}

}  // namespace

std::string SessionObservations::encode(const std::string& invoker, const HostObservations& observations) {
  const maintenance::Heartbeat heartbeat{invoker, 0, 0, 0, {}, observations};
  return maintenance::heartbeat_to_json(heartbeat).dump(-1, ' ', false, json::error_handler_t::replace);
}

bool SessionObservations::update(SessionId session, const std::string& encoded) {
  const json parsed = json::parse(encoded, nullptr, false);
  if (!parsed.is_object())
    return false;
  auto heartbeat = maintenance::parse_heartbeat(parsed);
  if (!heartbeat || !heartbeat->observations)
    return false;
  if (largest_list(*heartbeat->observations) > kMaxHosts)
    return false;
  by_session_[session] = std::move(*heartbeat->observations);
  return true;
}

void SessionObservations::retain(const std::function<bool(SessionId)>& is_known) {
  for (auto entry = by_session_.begin(); entry != by_session_.end();) {
    entry = is_known(entry->first) ? std::next(entry) : by_session_.erase(entry);
  }
}

HostObservations SessionObservations::merged(HostObservations own) const {
  for (const auto& [session, observations] : by_session_)
    merge(own, observations);
  return own;
}

}  // namespace lotusyard::node
