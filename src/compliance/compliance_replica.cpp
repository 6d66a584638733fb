#include "compliance/compliance_replica.h"

#include "compliance/log_entry_codec.h"
#include "metrics/cluster_counters.h"

namespace lotusyard::compliance {
namespace {

using nlohmann::json;
using State = Certificate::State;

Millis period_of(const raft::Config& config) { return config.terms.heartbeat_interval() / 2; }

}  // namespace

ComplianceReplica::ComplianceReplica(const InvokerServices& services, const raft::Config& config,
                                     maintenance::MaintenanceReplica& maintenance, LogSink log)
    : services_(services),
      config_(config),
      maintenance_(maintenance),
      log_(std::move(log)),
      filter_(
          services, state_, [this] { return maintenance_.is_leased(); }, log_),
      admin_(
          services, config_.member, state_, maintenance_,
          [this](const std::string& certificate) { return members_not_acknowledged(certificate); },
          [this](const LogEntry& entry) { return replica_->send_to_leader(*this, encode_entry(entry)); }),
      proposal_retry_(period_of(config)) {}

void ComplianceReplica::attach(raft::RaftReplica& replica) {
  replica_ = &replica;
  update();
  run_periodic();
}

void ComplianceReplica::update() { filter_.update(); }

void ComplianceReplica::apply(std::uint64_t index, const std::string& text) {
  std::optional<LogEntry> entry;
  try {
    entry = parse_entry(json::parse(text));
  } catch (const std::exception& error) {
    services_.counters.add(metrics::kComplianceUnreadable);
    return maintenance_.on_store_failure("log entry " + std::to_string(index) +
                                         " cannot be parsed: " + error.what());
  }
  proposal_retry_.on_applied();
  const auto outcome = state_.apply(index, *entry);
  ++version_;
  const bool is_repeated = outcome.index != index;
  if (is_repeated || std::holds_alternative<Acknowledge>(entry->command)) {
    return;
  }
  log_("entry=" + std::to_string(index) + ' ' + text + (outcome.done ? "" : " refused: " + outcome.why));
  const auto* revoke = std::get_if<Revoke>(&entry->command);
  if (outcome.done && revoke != nullptr) {
    on_revoked(revoke->certificate);
  }
}

void ComplianceReplica::on_revoked(const std::string& certificate) {
  services_.counters.add(metrics::kComplianceRevoked);
  unused_since_[certificate] = services_.loop.now();
  services_.host_connections.abort_unsent(state_.certificates().at(certificate).host);
}

bool ComplianceReplica::restore(const std::string& snapshot) {
  if (snapshot.empty()) {
    return true;
  }
  ++version_;
  return state_.restore(json::parse(snapshot, nullptr, false));
}

void ComplianceReplica::run_periodic() {
  periodic_timer_ =
      services_.loop.schedule_at(services_.loop.now() + period_of(config_), [this] { run_periodic(); });
  acknowledge_revocations();
  drop_finished_revocations();
  if (maintenance_.is_ready_leader() && proposal_retry_.may_propose(services_.loop.now())) {
    run_leader();
  }
}

void ComplianceReplica::acknowledge_revocations() {
  for (const auto& [name, certificate] : state_.certificates()) {
    const bool is_pending = certificate.state == State::revoking &&
                            !state_.has_acknowledged(name, config_.member, replica_->incarnation());
    if (!is_pending || !is_unused(name, certificate)) {
      continue;
    }
    const Acknowledge command{name, config_.member, replica_->incarnation(), certificate.revoked_at_index};
    replica_->send_to_leader(*this, encode_entry({command}));
  }
}

// A revoked certificate is unused once every call that may have been sent under it has reached its deadline,
// at this member and in the sessions that it represents.
bool ComplianceReplica::is_unused(const std::string& name, const Certificate& certificate) {
  const Millis now = services_.loop.now();
  const Millis unused_since = unused_since_.try_emplace(name, now).first->second;
  if (now - unused_since < config_.terms.max_attempt_time || !config_.serves) {
    return false;
  }
  return !sessions_quiesced_ || sessions_quiesced_(certificate.revoked_at_index);
}

void ComplianceReplica::drop_finished_revocations() {
  for (auto current = unused_since_.begin(); current != unused_since_.end();) {
    const auto found = state_.certificates().find(current->first);
    const bool is_finished = found == state_.certificates().end() || found->second.state != State::revoking;
    current = is_finished ? unused_since_.erase(current) : std::next(current);
  }
}

// Members that may still use the revoked certificate. Those presumed dead have lost their lease.
std::vector<std::string> ComplianceReplica::members_not_acknowledged(const std::string& certificate) const {
  std::vector<std::string> out;
  for (const auto& [name, member] : maintenance_.state().members()) {
    const Millis silence = services_.loop.now() - member.last_heartbeat_at;
    const bool is_serving = member.serves && silence < config_.terms.presumed_dead_after();
    if (is_serving && !state_.has_acknowledged(certificate, name, member.incarnation)) {
      out.push_back(name);
    }
  }
  return out;
}

void ComplianceReplica::run_leader() {
  for (const auto& [name, certificate] : state_.certificates()) {
    if (certificate.state != State::revoking || !members_not_acknowledged(name).empty()) {
      continue;
    }
    const FinishRevocation command{name, certificate.revoked_at_index};
    if (replica_->propose(*this, encode_entry({command}))) {
      proposal_retry_.on_proposed(services_.loop.now());
    }
  }
}

// Only the leader itself finishes revocations, and an acknowledgement is needed once.
bool ComplianceReplica::should_propose(const Command& command) const {
  if (const auto* acknowledge = std::get_if<Acknowledge>(&command)) {
    return !state_.has_acknowledged(acknowledge->certificate, acknowledge->member, acknowledge->incarnation);
  }
  return !std::holds_alternative<FinishRevocation>(command);
}

void ComplianceReplica::handle_message(const std::string& message) {
  try {
    const LogEntry entry = parse_entry(json::parse(message));
    if (should_propose(entry.command)) {
      replica_->propose(*this, encode_entry(entry));
    }
  } catch (const std::exception&) {
    services_.counters.add(metrics::kComplianceMalformed);
  }
}

}  // namespace lotusyard::compliance
