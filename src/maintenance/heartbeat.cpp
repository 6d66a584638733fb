#include "maintenance/heartbeat.h"

#include <cmath>

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

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

json heartbeat_to_json(const Heartbeat& heartbeat) {
  json out = {{"m", heartbeat.member},
              {"l", heartbeat.incarnation},
              {"s", heartbeat.sent_at},
              {"h", heartbeat.applied_index}};
  if (!heartbeat.drained_hosts.empty())
    out["d"] = heartbeat.drained_hosts;
  if (heartbeat.observations)
    out["v"] = observations_to_json(*heartbeat.observations);
  if (heartbeat.followed_index)
    out["f"] = *heartbeat.followed_index;
  return out;
}

std::optional<Heartbeat> parse_heartbeat(const json& from) {
  try {
    Heartbeat out;
    from.at("m").get_to(out.member);
    from.at("l").get_to(out.incarnation);
    from.at("s").get_to(out.sent_at);
    from.at("h").get_to(out.applied_index);
    if (out.member.empty() || out.member.size() > kMaxMemberNameBytes || !std::isfinite(out.sent_at))
      return std::nullopt;
    if (from.contains("d"))
      from.at("d").get_to(out.drained_hosts);
    if (from.contains("v"))
      out.observations = parse_observations(from.at("v"));
    if (from.contains("f"))
      out.followed_index = from.at("f").get<std::uint64_t>();
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lotusyard::maintenance
