#include "maintenance/snapshot_codec.h"

#include <algorithm>
#include <stdexcept>

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

json encode_host(const std::string& id, const HostProgress& host) {
  return {{"id", id},
          {"zone", host.key.zone},
          {"kind", host.key.kind},
          {"work", host.job},
          {"reason", host.reason},
          {"stage", static_cast<int>(host.stage)},
          {"round", host.selected_at_index},
          {"late", host.overdue},
          {"touched", host.released_to_operators}};
}

HostStage decode_stage(const json& from) {
  const int stage = from.get<int>();
  if (stage < 0 || stage > static_cast<int>(HostStage::returned))
    throw std::invalid_argument("stage: out of range");
  return static_cast<HostStage>(stage);
}

HostProgress decode_host(const json& row, Millis now) {
  HostProgress out;
  out.key = {row.at("id").get<std::string>(), row.at("zone").get<std::string>(),
             row.at("kind").get<std::string>()};
  out.job = row.at("work").get<std::string>();
  out.reason = row.at("reason").get<std::string>();
  out.stage = decode_stage(row.at("stage"));
  out.selected_at_index = row.at("round").get<std::uint64_t>();
  out.overdue = row.at("late").get<bool>();
  out.released_to_operators = row.at("touched").get<bool>();
  out.since = now;
  return out;
}

// A member is encoded as a heartbeat without a time, and whether it serves calls.
json encode_member(const std::string& name, const MemberProgress& member) {
  Heartbeat heartbeat{name, member.incarnation, 0, member.applied_index, member.drained_hosts, std::nullopt};
  if (member.has_reported)
    heartbeat.observations = member.observations;
  if (member.followed_index != member.applied_index)
    heartbeat.followed_index = member.followed_index;
  json row = heartbeat_to_json(heartbeat);
  row["serves"] = member.serves;
  return row;
}

MemberProgress decode_member(const Heartbeat& heartbeat, bool serves, Millis now) {
  MemberProgress out;
  out.incarnation = heartbeat.incarnation;
  out.serves = serves;
  out.applied_index = heartbeat.applied_index;
  out.followed_index = heartbeat.followed_index.value_or(heartbeat.applied_index);
  out.drained_hosts = heartbeat.drained_hosts;
  out.has_reported = heartbeat.observations.has_value();
  out.last_heartbeat_at = now;
  if (heartbeat.observations)
    out.observations = *heartbeat.observations;
  return out;
}

void decode_hosts(const json& rows, Millis now, MaintenanceRecords& out) {
  for (const auto& row : rows) {
    HostProgress host = decode_host(row, now);
    const auto is_its_job = [&](const MaintenanceJob& job) { return job.id == host.job; };
    if (std::none_of(out.jobs.begin(), out.jobs.end(), is_its_job))
      throw std::invalid_argument("hosts: a host of an unknown job");
    const std::string id = host.key.id;
    out.hosts[id] = std::move(host);
  }
}

MemberTable decode_members(const json& rows, const json& incarnations, Millis now) {
  MemberTable::Members members;
  for (const auto& row : rows) {
    const auto heartbeat = parse_heartbeat(row);
    if (!heartbeat)
      throw std::invalid_argument("members: malformed");
    members[heartbeat->member] = decode_member(*heartbeat, row.at("serves").get<bool>(), now);
  }
  return {std::move(members), incarnations.get<MemberTable::Incarnations>()};
}

}  // namespace

json encode_snapshot(const MaintenanceRecords& records) {
  json jobs = json::array(), hosts = json::array(), members = json::array(), outcomes = json::array();
  for (const auto& job : records.jobs)
    jobs.push_back(job_to_json(job));
  for (const auto& [id, host] : records.hosts)
    hosts.push_back(encode_host(id, host));
  for (const auto& [name, member] : records.members.members())
    members.push_back(encode_member(name, member));
  for (const auto& proposal : records.outcomes.proposals()) {
    const ProposalOutcome* outcome = records.outcomes.find(proposal);
    if (outcome != nullptr)
      outcomes.push_back({proposal, outcome->done, outcome->why, outcome->index});
  }
  return {{"index", records.index},
          {"works", jobs},
          {"hosts", hosts},
          {"members", members},
          {"lives", records.members.incarnations()},
          {"outcomes", outcomes}};
}

std::optional<MaintenanceRecords> decode_snapshot(const json& from, Millis now) {
  try {
    MaintenanceRecords out;
    out.index = from.at("index").get<std::uint64_t>();
    out.last_return_at = now;  // not before the actual return: a pause may become longer, never shorter
    for (const auto& row : from.at("works"))
      out.jobs.push_back(parse_job(row));
    decode_hosts(from.at("hosts"), now, out);
    out.members = decode_members(from.at("members"), from.at("lives"), now);
    for (const auto& row : from.at("outcomes")) {
      out.outcomes.add(row.at(0).get<std::string>(),
                       {row.at(1).get<bool>(), row.at(2).get<std::string>(), row.at(3).get<std::uint64_t>()});
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace lotusyard::maintenance
