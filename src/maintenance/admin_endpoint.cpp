#include "maintenance/admin_endpoint.h"

#include <algorithm>

#include "config/json_read.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;
using Kind = LogEntry::Kind;

// Which hosts a work is about; throws std::invalid_argument.
json chosen(const json& select, const std::map<std::string, core::ListedHost>& listed) {
  const auto named = [&](const char* key, const std::string& value) {
    const json& list = config::key(select, key);
    return list.is_array() && std::find(list.begin(), list.end(), value) != list.end();
  };
  for (const auto& id : select.value("hosts", json::array())) {
    if (!id.is_string() || listed.count(id.get<std::string>()) == 0)
      throw std::invalid_argument("hosts: unknown host " + id.dump());
  }
  json out = json::array();
  for (const auto& [id, m] : listed) {
    const bool taken = select.value("all", false) || named("hosts", id) || named("zones", m.entry.zone) ||
                       named("kinds", m.entry.kind);
    if (taken) out.push_back({id, m.entry.zone, m.entry.kind});
  }
  if (out.empty()) throw std::invalid_argument("hosts: none is chosen");
  return out;
}

}  // namespace

json jobs_to_json(const MaintenanceState& board, const std::string& member) {
  const json waits = json::parse(board.waiting_reason(), nullptr, false);
  json works = json::array();
  for (const auto& w : board.jobs()) {
    json hosts = json::object();
    for (const auto& key : w.hosts) {
      const auto found = board.hosts().find(key.id);
      const bool open = found != board.hosts().end() && found->second.job == w.id;
      hosts[key.id] = {{"stage", open                                     ? name_of(found->second.stage)
                                 : w.state == MaintenanceJob::State::done ? "back"
                                                                          : "-"},
                       {"reason", open ? found->second.reason : ""},
                       {"late", open && found->second.overdue}};
    }
    json row = job_to_json(w);
    row["hosts"] = hosts;
    row["waits"] = waits.is_object() && w.state != MaintenanceJob::State::done ? waits.value(w.id, "") : "";
    works.push_back(row);
  }
  return {{"member", member}, {"index", board.index()}, {"works", works}};
}

json outcome_to_json(const MaintenanceState::ProposalOutcome& o) {
  return {{"done", o.done}, {"why", o.why}, {"index", o.index}};
}

OperatorProposal parse_proposal(const std::string& wording,
                                const std::map<std::string, core::ListedHost>& listed) {
  const auto refused = [](int status, const std::string& why) {
    return OperatorProposal{{status, why}, std::nullopt};
  };
  json from = json::parse(wording, nullptr, false);
  if (!from.is_object()) return refused(400, "no JSON object");
  const std::string proposal = config::text(config::key(from, "id"));
  if (proposal.empty() || proposal.size() > 128) return refused(400, "id: 1 to 128 bytes are needed");
  try {
    if (from.contains("added")) {
      json& added = from["added"];
      if (!added.is_object()) return refused(400, "added: an object is needed");
      added["hosts"] = chosen(added.value("select", json::object()), listed);
      added.erase("select");
      (void)parse_job(added);
    }
    if (from.contains("bounds")) (void)parse_bounds(from.at("bounds"));
  } catch (const std::exception& fault) { return refused(400, fault.what()); }
  auto entry = parse_entry(from.dump());
  static const Kind allowed[] = {Kind::add_job,       Kind::change_job_state,
                                 Kind::change_bounds, Kind::return_to_service,
                                 Kind::leave,         Kind::read_barrier};
  if (!entry || std::find(std::begin(allowed), std::end(allowed), entry->kind) == std::end(allowed))
    return refused(400, "no proposal that an operator can make");
  if (encode_entry(*entry).size() > max_entry_bytes) return refused(413, "too long");
  return {{}, std::move(entry)};
}

}  // namespace lotusyard::maintenance
