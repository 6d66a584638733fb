#include "node/session_observations.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lotusyard::node {
namespace {

using nlohmann::json;

void merge(maintenance::HostObservations& into, const maintenance::HostObservations& view) {
  for (const auto& [host, cost] : view.serving_value) into.serving_value[host] += cost;
  into.down.insert(view.down.begin(), view.down.end());
  into.restarted.insert(view.restarted.begin(), view.restarted.end());
  into.served.insert(view.served.begin(), view.served.end());
  into.calls_per_second += view.calls_per_second;
  into.failed_per_second += view.failed_per_second;
  // The bounds on how many hosts may be out go by whoever sees fewest.
  if (view.listed_hosts > 0)
    into.listed_hosts =
        into.listed_hosts > 0 ? std::min(into.listed_hosts, view.listed_hosts) : view.listed_hosts;
}

}  // namespace

std::string SessionObservations::encode(const std::string& invoker,
                                        const maintenance::HostObservations& view) {
  const maintenance::Heartbeat beat{invoker, 0, 0, 0, {}, view};
  return maintenance::heartbeat_to_json(beat).dump(-1, ' ', false, json::error_handler_t::replace);
}

bool SessionObservations::update(SessionId session, const std::string& word) {
  const json read = json::parse(word, nullptr, false);
  if (!read.is_object()) return false;
  auto beat = maintenance::parse_heartbeat(read);
  if (!beat || !beat->observations) return false;
  const maintenance::HostObservations& view = *beat->observations;
  const std::size_t largest =
      std::max({view.serving_value.size(), view.down.size(), view.restarted.size(), view.served.size()});
  if (largest > max_hosts) return false;
  views_[session] = std::move(*beat->observations);
  return true;
}

void SessionObservations::retain(const std::function<bool(SessionId)>& known) {
  for (auto view = views_.begin(); view != views_.end();) {
    view = known(view->first) ? std::next(view) : views_.erase(view);
  }
}

maintenance::HostObservations SessionObservations::merged(maintenance::HostObservations own) const {
  for (const auto& [session, view] : views_) merge(own, view);
  return own;
}

}  // namespace lotusyard::node
