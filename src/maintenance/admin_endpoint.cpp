#include "maintenance/admin_endpoint.h"

#include <algorithm>

#include "config/json_read.h"
#include "maintenance/log_entry_codec.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

// Resolves a host selector against the listed hosts. Throws std::invalid_argument.
json resolve_selection(const json& select, const std::map<std::string, core::ListedHost>& listed) {
  const auto selects = [&](const char* key, const std::string& value) {
    const json& list = config::key(select, key);
    return list.is_array() && std::find(list.begin(), list.end(), value) != list.end();
  };
  for (const auto& id : select.value("hosts", json::array())) {
    if (!id.is_string() || listed.count(id.get<std::string>()) == 0)
      throw std::invalid_argument("hosts: unknown host " + id.dump());
  }
  json out = json::array();
  for (const auto& [id, host] : listed) {
    const bool is_selected = select.value("all", false) || selects("hosts", id) ||
                             selects("zones", host.entry.zone) || selects("kinds", host.entry.kind);
    if (is_selected)
      out.push_back({id, host.entry.zone, host.entry.kind});
  }
  if (out.empty())
    throw std::invalid_argument("hosts: none is chosen");
  return out;
}

// Whether an operator may propose the command; all others are proposed by members.
bool may_propose(const Command& command) {
  return std::holds_alternative<AddJob>(command) || std::holds_alternative<ChangeJobState>(command) ||
         std::holds_alternative<ChangeBounds>(command) || std::holds_alternative<ReturnToService>(command) ||
         std::holds_alternative<Leave>(command) || std::holds_alternative<ReadBarrier>(command);
}

}  // namespace

json jobs_to_json(const MaintenanceState& state, const std::string& member) {
  const json waiting_reasons = json::parse(state.waiting_reason(), nullptr, false);
  json jobs = json::array();
  for (const auto& job : state.jobs()) {
    json hosts = json::object();
    for (const auto& key : job.hosts) {
      const auto found = state.hosts().find(key.id);
      const bool open = found != state.hosts().end() && found->second.job == job.id;
      hosts[key.id] = {{"stage", open                                       ? name_of(found->second.stage)
                                 : job.state == MaintenanceJob::State::done ? "back"
                                                                            : "-"},
                       {"reason", open ? found->second.reason : ""},
                       {"late", open && found->second.overdue}};
    }
    json row = job_to_json(job);
    row["hosts"] = hosts;
    row["waits"] = waiting_reasons.is_object() && job.state != MaintenanceJob::State::done
                       ? waiting_reasons.value(job.id, "")
                       : "";
    jobs.push_back(row);
  }
  return {{"member", member}, {"index", state.index()}, {"works", jobs}};
}

json outcome_to_json(const ProposalOutcome& outcome) {
  return {{"done", outcome.done}, {"why", outcome.why}, {"index", outcome.index}};
}

OperatorProposal parse_proposal(const std::string& text,
                                const std::map<std::string, core::ListedHost>& listed) {
  const auto reject = [](int status, const std::string& why) {
    return OperatorProposal{{status, why}, std::nullopt};
  };
  json from = json::parse(text, nullptr, false);
  if (!from.is_object())
    return reject(400, "no JSON object");
  const std::string proposal_id = config::text(config::key(from, "id"));
  if (proposal_id.empty() || proposal_id.size() > 128)
    return reject(400, "id: 1 to 128 bytes are needed");
  try {
    if (from.contains("added")) {
      json& added = from["added"];
      if (!added.is_object())
        return reject(400, "added: an object is needed");
      added["hosts"] = resolve_selection(added.value("select", json::object()), listed);
      added.erase("select");
      (void)parse_job(added);
    }
    if (from.contains("bounds"))
      (void)parse_bounds(from.at("bounds"));
  } catch (const std::exception& error) {
    return reject(400, error.what());
  }
  auto entry = parse_entry(from.dump());
  if (!entry || !may_propose(entry->command))
    return reject(400, "no proposal that an operator can make");
  if (encode_entry(*entry).size() > kMaxEntryBytes)
    return reject(413, "too long");
  return {{}, std::move(entry)};
}

}  // namespace lotusyard::maintenance
