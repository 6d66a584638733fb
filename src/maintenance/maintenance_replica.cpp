#include "maintenance/maintenance_replica.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "config/json_read.h"
#include "core/fault_injection.h"
#include "maintenance/admin_endpoint.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;
using Kind = LogEntry::Kind;

constexpr int kViewEvery = 8;  // so many beats: what is seen is told again though it is as before
const std::string kPath = "/-/works/";

}  // namespace

MaintenanceReplica::MaintenanceReplica(const InvokerServices& wiring, const raft::Config& config,
                                       raft::Lease& lease, LogSink note)
    : services_(wiring),
      config_(config),
      lease_(lease),
      log_(std::move(note)),
      scheduler_(config.terms),
      host_access_(wiring, log_) {}

MaintenanceReplica::~MaintenanceReplica() {
  for (const auto& timer : {heartbeat_timer_, leader_timer_, lease_timer_, lives_})
    services_.loop.cancel(timer);
}

void MaintenanceReplica::attach(raft::RaftReplica& member) {
  replica_ = &member;
  update_host_access();
  heartbeat_timer_ = services_.loop.schedule_at(now(), [this] { send_heartbeat(); });
  leader_timer_ = services_.loop.schedule_at(now(), [this] { run_leader(); });
}

// ---- What this member uses ----

bool MaintenanceReplica::may_send(const std::string& host) {
  before_writes();
  return !host_access_.is_avoided(host) && lease_.was_ever_held();
}

// Danger: a process that was stopped for longer than its lease goes on where it was, with calls decided and
// not yet written.
void MaintenanceReplica::before_writes() {
  if (host_access_.leased() && !lease_.is_held(now())) update_host_access();
}

void MaintenanceReplica::update_host_access() {
  StateFreshness knowledge;
  knowledge.is_leased =
      !failed_ && (lease_.is_held(now()) || (fault_injected("lease") && lease_.was_ever_held()));
  knowledge.must_suspend = config_.serves && !lease_.was_ever_held();
  services_.loop.cancel(lease_timer_);
  if (lease_.is_held(now()))
    lease_timer_ = services_.loop.schedule_at(lease_.expires_at(), [this] { update_host_access(); });
  host_access_.update(state_, knowledge);
  if (change_handler_) change_handler_();
}

void MaintenanceReplica::attempt_ended(const std::string& host, const core::Call& call,
                                       core::Outcome outcome) {
  host_access_.attempt_ended(host, call, outcome);
}

// ---- What this member tells ----

void MaintenanceReplica::send_to_leader(const json& word) {
  if (!replica_->send_to_leader(*this, word.dump(-1, ' ', false, json::error_handler_t::replace)))
    services_.counters.add("works.no_leader");
}

void MaintenanceReplica::send_heartbeat() {
  const Millis pace = config_.terms.heartbeat_interval();
  heartbeat_timer_ = services_.loop.schedule_at(now() + pace, [this] { send_heartbeat(); });
  if (failed_ || !replica_->is_member() || !config_.serves) return;
  const auto mine = state_.members().find(member_name());
  if (mine == state_.members().end() || mine->second.incarnation != replica_->incarnation()) {
    pass_earlier_lives();
    LogEntry join;
    join.kind = Kind::join;
    join.member = member_name();
    join.incarnation = replica_->incarnation();
    return send_to_leader({{"e", encode_entry(join)}});
  }
  has_joined_ = true;
  Heartbeat out{member_name(),
                replica_->incarnation(),
                now().count(),
                state_.index(),
                {},
                host_access_.observe(state_)};
  const auto others = aggregate_source_ ? std::optional<SessionAggregate>(aggregate_source_()) : std::nullopt;
  if (others) {
    out.applied_index = std::min(out.applied_index, others->applied_index);
    out.followed_index = std::min(out.applied_index, others->followed_index);
  }
  if (merge_observations_) out.observations = merge_observations_(std::move(*out.observations));
  out.drained_hosts = drained_hosts(others ? &*others : nullptr);
  json worded_out = heartbeat_to_json(out);
  std::string seen = worded_out["v"].dump();
  if (seen == last_sent_observations_ && ++heartbeats_without_observations_ < kViewEvery) {
    worded_out.erase("v");
  } else {
    last_sent_observations_ = std::move(seen);
    heartbeats_without_observations_ = 0;
  }
  send_to_leader({{"b", worded_out}});
}

// A member that lost its store takes its life from the clock; set back since, that is less than the log
// knows, and it would never be let in. Only before the first join of this process: two processes of one name
// would outdo each other for ever.
void MaintenanceReplica::pass_earlier_lives() {
  const std::uint64_t last = state_.last_incarnation(member_name());
  if (has_joined_ || last < replica_->incarnation()) return;
  try {
    const std::uint64_t life = replica_->begin_new_incarnation(last);
    services_.counters.add("works.lives_passed");
    log_("life=" + std::to_string(life) + " starts: an earlier one is in the log as " + std::to_string(last));
  } catch (const std::exception& fault) { on_store_failure(fault.what()); }
}

std::set<std::string> MaintenanceReplica::drained_hosts(const SessionAggregate* others) const {
  std::set<std::string> out;
  for (const auto& [id, h] : state_.hosts()) {
    const bool gone = h.stage == HostStage::draining || h.stage == HostStage::out_of_service;
    if (!gone || !host_access_.is_avoided(id)) continue;
    const bool free = lease_.earlier_attempts_ended(now()) && services_.host_connections.has_no_calls(id);
    const bool others_free = others == nullptr || others->quiesced_index >= h.selected_at_index;
    if ((free && others_free) || fault_injected("drain")) out.insert(id);
  }
  return out;
}

// ---- What was agreed upon ----

void MaintenanceReplica::apply(std::uint64_t index, const std::string& wording) {
  const auto entry = parse_entry(wording);
  if (!entry) {
    services_.counters.add("works.unreadable");
    return on_store_failure("entry " + std::to_string(index) +
                            " of the log is of another version of the program");
  }
  const auto outcome = state_.apply(index, *entry, now());
  services_.counters.add("works.entries");
  if (entry->kind == Kind::heartbeats) {
    for (const auto& beat : entry->heartbeats) {
      // Danger: a sign of life that was on its way when the member was said to be gone, or began another
      // life.
      const auto mine = state_.members().find(beat.member);
      const bool holds = mine != state_.members().end() && mine->second.incarnation == beat.incarnation;
      if (beat.member != member_name()) continue;
      const bool this_life = replica_ != nullptr && beat.incarnation == replica_->incarnation();
      if (holds && this_life) lease_.renew(beat.sent_at);
      // The log keeps what an earlier process of this member read off the clock.
      if (!this_life) services_.loop.remember_wall(Millis(beat.sent_at));
    }
    if (!host_access_.leased()) return update_host_access();
    return change_handler_ ? change_handler_() : void();
  }
  // What came again under one proposal has had its outcome.
  if (entry->kind == Kind::read_barrier || outcome.index != index) return;
  ++version_;
  log_applied_entry(*entry, outcome);
  // Before `attach` the log of earlier lives is applied: this one is a new one in any case.
  const bool left = outcome.done && entry->kind == Kind::leave && entry->member == member_name();
  if (left && replica_ != nullptr) begin_new_incarnation();
  update_host_access();
  // One step leads to the next at once.
  if (replica_ != nullptr && replica_->is_leader()) {
    services_.loop.cancel(leader_timer_);
    leader_timer_ = services_.loop.schedule_at(now(), [this] { run_leader(); });
  }
}

void MaintenanceReplica::log_applied_entry(const LogEntry& e,
                                           const MaintenanceState::ProposalOutcome& outcome) {
  log_(std::string(name_of(e.kind)) + (outcome.done ? "" : " refused") +
       (e.job.empty() ? "" : " work=" + e.job) + (e.host.empty() ? "" : " host=" + e.host) +
       (e.added_job ? " work=" + e.added_job->id : "") + (e.member.empty() ? "" : " of=" + e.member) +
       (e.kind == Kind::change_job_state ? std::string(" state=") + name_of(e.state) : "") + " reason=\"" +
       (outcome.done ? e.reason : outcome.why) + '"');
}

// It was taken for gone for good, and is not.
void MaintenanceReplica::begin_new_incarnation() {
  lease_ = raft::Lease(config_.terms, now());
  take_new_life();
}

// A life that is not kept is not told: a store that fails for now is asked again.
void MaintenanceReplica::take_new_life() {
  try {
    log_("life=" + std::to_string(replica_->begin_new_incarnation()) +
         " starts: this member was said to be gone");
  } catch (const raft::LogStoreError& fault) {
    if (!fault.transient()) return on_store_failure(fault.what());
    services_.loop.cancel(lives_);
    lives_ =
        services_.loop.schedule_at(now() + config_.terms.heartbeat_interval(), [this] { take_new_life(); });
  } catch (const std::exception& fault) { on_store_failure(fault.what()); }
}

std::string MaintenanceReplica::snapshot() {
  return state_.snapshot().dump(-1, ' ', false, json::error_handler_t::replace);
}

bool MaintenanceReplica::restore(const std::string& from) {
  if (from.empty()) return true;
  const json read = json::parse(from, nullptr, false);
  ++version_;
  return read.is_object() && state_.restore(read, now());
}

void MaintenanceReplica::on_store_failure(const std::string& why) {
  if (std::exchange(failed_, true)) return;
  std::cerr << "lotusyard: " << why << std::endl;
  lease_.revoke();
  services_.loop.schedule_at(now(), [this] { update_host_access(); });
}

// ---- What operators ask ----

std::optional<admin::Response> MaintenanceReplica::handle_request(const admin::Request& request) {
  const bool get = request.method == "GET", post = request.method == "POST";
  if (request.path == "/-/works")
    return get ? admin::Response{200, jobs_to_json(state_, member_name()).dump()}
               : admin::Response{405, "GET"};
  if (request.path.compare(0, kPath.size(), kPath) != 0) return std::nullopt;
  const std::string rest = request.path.substr(kPath.size());
  const auto slash = rest.find('/');
  const std::string verb = rest.substr(0, slash),
                    what = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (verb == "propose") {
    if (!post) return admin::Response{405, "POST"};
    const OperatorProposal read = parse_proposal(what, services_.endpoint_states.listed_hosts());
    if (!read.entry) return read.rejection;
    const bool told = replica_->send_to_leader(*this, json{{"e", encode_entry(*read.entry)}}.dump());
    return told ? admin::Response{202, "taken"} : admin::Response{503, "nobody is known to lead"};
  }
  if (verb != "outcome") return std::nullopt;
  if (!get) return admin::Response{405, "GET"};
  const auto* outcome = state_.find_outcome(what);
  if (outcome == nullptr)
    return admin::Response{404, "not known here, as of index " + std::to_string(state_.index())};
  return admin::Response{200, outcome_to_json(*outcome).dump()};
}

}  // namespace lotusyard::maintenance
