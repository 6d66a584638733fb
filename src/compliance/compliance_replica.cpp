#include "compliance/compliance_replica.h"

#include <algorithm>

namespace lotusyard::compliance {
namespace {

using nlohmann::json;
using State = Certificate::State;

constexpr int kAgain = 4;  // turns after which a proposal that changed nothing is made again
const std::string kPath = "/-/compliance/";

}  // namespace

ComplianceReplica::ComplianceReplica(const InvokerServices& wiring, const raft::Config& config,
                                     maintenance::MaintenanceReplica& coordinator, LogSink note)
    : services_(wiring),
      config_(config),
      maintenance_(coordinator),
      log_(std::move(note)),
      filter_(
          wiring, state_, [this] { return maintenance_.is_leased(); }, log_) {}

void ComplianceReplica::attach(raft::RaftReplica& member) {
  replica_ = &member;
  update();
  run_periodic();
}

void ComplianceReplica::update() { filter_.update(); }

void ComplianceReplica::apply(std::uint64_t index, const std::string& text) {
  LogEntry entry;
  try {
    entry = parse_entry(json::parse(text));
  } catch (const std::exception& fault) {
    services_.counters.add("compliance.unreadable");
    return maintenance_.on_store_failure("entry " + std::to_string(index) +
                                         " of the log cannot be read: " + fault.what());
  }
  proposed_ = Millis(0);
  const auto outcome = state_.apply(index, entry);
  ++version_;
  if (outcome.index != index || entry.kind == LogEntry::Kind::acknowledge) return;
  log_("entry=" + std::to_string(index) + ' ' + text + (outcome.done ? "" : " refused: " + outcome.why));
  if (!outcome.done || entry.kind != LogEntry::Kind::revoke) return;
  services_.counters.add("compliance.revoked");
  unused_since_[entry.name] = services_.loop.now();
  services_.host_connections.abort_unsent(state_.certificates().at(entry.name).host);
}

bool ComplianceReplica::restore(const std::string& snapshot) {
  if (snapshot.empty()) return true;
  ++version_;
  return state_.restore(json::parse(snapshot, nullptr, false));
}

// A certificate is used no more once every call that may have gone out under it has run out of time.
void ComplianceReplica::run_periodic() {
  const Millis now = services_.loop.now();
  periodic_timer_ =
      services_.loop.schedule_at(now + config_.terms.heartbeat_interval() / 2, [this] { run_periodic(); });
  for (const auto& [name, c] : state_.certificates()) {
    if (c.state != State::revoking || state_.has_acknowledged(name, config_.member, replica_->incarnation()))
      continue;
    const Millis since = unused_since_.try_emplace(name, now).first->second;
    if (now - since < config_.terms.max_attempt_time || !config_.serves) continue;
    if (sessions_quiesced_ && !sessions_quiesced_(c.revoked_at_index)) continue;
    LogEntry told;
    told.kind = LogEntry::Kind::acknowledge;
    told.name = name;
    told.member = config_.member;
    told.incarnation = replica_->incarnation();
    told.revoked_at_index = c.revoked_at_index;
    replica_->send_to_leader(*this, encode_entry(told));
  }
  for (auto i = unused_since_.begin(); i != unused_since_.end();) {
    const auto found = state_.certificates().find(i->first);
    const bool over = found == state_.certificates().end() || found->second.state != State::revoking;
    i = over ? unused_since_.erase(i) : std::next(i);
  }
  if (maintenance_.is_ready_leader() && now - proposed_ >= config_.terms.heartbeat_interval() / 2 * kAgain)
    run_leader();
}

std::string ComplianceReplica::members_not_acknowledged(const Certificate& c) const {
  std::string out;
  for (const auto& [name, m] : maintenance_.state().members()) {
    const bool silent = services_.loop.now() - m.last_heartbeat_at >= config_.terms.presumed_dead_after();
    if (m.serves && !silent && !state_.has_acknowledged(c.name, name, m.incarnation))
      out += (out.empty() ? "" : ", ") + name;
  }
  return out;
}

void ComplianceReplica::run_leader() {
  for (const auto& [name, c] : state_.certificates()) {
    if (c.state != State::revoking || !members_not_acknowledged(c).empty()) continue;
    LogEntry ended;
    ended.kind = LogEntry::Kind::finish_revocation;
    ended.name = name;
    ended.revoked_at_index = c.revoked_at_index;
    if (replica_->propose(*this, encode_entry(ended))) proposed_ = services_.loop.now();
  }
}

void ComplianceReplica::handle_message(const std::string& word) {
  try {
    const LogEntry entry = parse_entry(json::parse(word));
    if (entry.kind == LogEntry::Kind::acknowledge &&
        state_.has_acknowledged(entry.name, entry.member, entry.incarnation))
      return;
    if (entry.kind != LogEntry::Kind::finish_revocation) replica_->propose(*this, encode_entry(entry));
  } catch (const std::exception&) { services_.counters.add("compliance.malformed"); }
}

json ComplianceReplica::status_to_json() const {
  json certificates = json::object();
  static const char* const states[] = {"stands", "ending", "ended"};
  for (const auto& [name, c] : state_.certificates())
    certificates[name] = {{"host", c.host},
                          {"regime", c.regime},
                          {"state", states[static_cast<std::size_t>(c.state)]},
                          {"waits_for", c.state == State::revoking ? members_not_acknowledged(c) : ""}};
  json regimes = json::array();
  for (const auto& [name, r] : state_.regimes()) regimes.push_back(name);
  return {{"member", config_.member}, {"index", state_.index()},      {"knows", maintenance_.is_leased()},
          {"regimes", regimes},       {"certificates", certificates}, {"tenants", state_.tenants()}};
}

std::optional<admin::Response> ComplianceReplica::handle_request(const admin::Request& request) {
  const bool get = request.method == "GET";
  if (request.path == "/-/compliance")
    return get ? admin::Response{200, status_to_json().dump()} : admin::Response{405, "GET"};
  if (request.path.compare(0, kPath.size(), kPath) != 0) return std::nullopt;
  const std::string rest = request.path.substr(kPath.size());
  const auto slash = rest.find('/');
  const std::string verb = rest.substr(0, slash),
                    what = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (verb == "outcome") {
    const auto* outcome = state_.find_outcome(what);
    if (outcome == nullptr) return admin::Response{404, "not known here"};
    return admin::Response{200, json{{"done", outcome->done}, {"why", outcome->why}}.dump()};
  }
  if (verb != "propose") return std::nullopt;
  if (get) return admin::Response{405, "POST"};
  try {
    LogEntry entry = parse_entry(json::parse(what));
    if (entry.kind > LogEntry::Kind::revoke)
      return admin::Response{400, "t: no proposal that an operator can make"};
    if (entry.proposal.empty()) return admin::Response{400, "id: 1 to 128 bytes are needed"};
    if (entry.kind == LogEntry::Kind::certify) {
      const auto listed = services_.endpoint_states.find_listed(entry.certificate.host);
      if (!listed) return admin::Response{400, "host: unknown host " + entry.certificate.host};
      entry.certificate.host_incarnation = listed->entry.started.count();
    }
    const bool went = replica_->send_to_leader(*this, encode_entry(entry));
    return went ? admin::Response{202, "taken"} : admin::Response{503, "nobody is known to lead"};
  } catch (const std::exception& fault) { return admin::Response{400, fault.what()}; }
}

}  // namespace lotusyard::compliance
