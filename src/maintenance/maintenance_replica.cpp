#include "maintenance/maintenance_replica.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "config/json_read.h"
#include "core/fault_injection.h"
#include "maintenance/admin_endpoint.h"
#include "maintenance/log_entry_codec.h"
#include "maintenance/log_line.h"
#include "metrics/cluster_counters.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

const std::string kPathPrefix = "/-/works/";

}  // namespace

MaintenanceReplica::MaintenanceReplica(const InvokerServices& services, const raft::Config& config,
                                       raft::Lease& lease, LogSink log)
    : services_(services),
      config_(config),
      lease_(lease),
      log_(std::move(log)),
      scheduler_(config.terms),
      host_access_(services, log_) {}

MaintenanceReplica::~MaintenanceReplica() {
  for (const auto& timer : {heartbeat_timer_, leader_timer_, lease_timer_, incarnation_timer_})
    services_.loop.cancel(timer);
}

void MaintenanceReplica::attach(raft::RaftReplica& replica) {
  replica_ = &replica;
  update_host_access();
  heartbeat_timer_ = services_.loop.schedule_at(now(), [this] { send_heartbeat(); });
  leader_timer_ = services_.loop.schedule_at(now(), [this] { run_leader(); });
}

bool MaintenanceReplica::may_send(const std::string& host) {
  before_writes();
  return !host_access_.is_avoided(host) && lease_.was_ever_held();
}

// A process that resumes after a suspension longer than its lease may still have calls that are assigned to
// hosts and not yet written.
void MaintenanceReplica::before_writes() {
  if (host_access_.leased() && !lease_.is_held(now()))
    update_host_access();
}

void MaintenanceReplica::update_host_access() {
  StateFreshness freshness;
  freshness.is_leased =
      !failed_ && (lease_.is_held(now()) || (fault_injected("lease") && lease_.was_ever_held()));
  freshness.must_suspend = config_.serves && !lease_.was_ever_held();
  services_.loop.cancel(lease_timer_);
  if (lease_.is_held(now()))
    lease_timer_ = services_.loop.schedule_at(lease_.expires_at(), [this] { update_host_access(); });
  host_access_.update(state_, freshness);
  if (change_handler_)
    change_handler_();
}

void MaintenanceReplica::attempt_ended(const std::string& host, const core::Call& call,
                                       core::Outcome outcome) {
  host_access_.attempt_ended(host, call, outcome);
}

void MaintenanceReplica::apply(std::uint64_t index, const std::string& text) {
  const auto entry = parse_entry(text);
  if (!entry) {
    services_.counters.add(metrics::kWorksUnreadable);
    return on_store_failure("log entry " + std::to_string(index) +
                            " was written by another version of the program");
  }
  const auto outcome = state_.apply(index, *entry, now());
  services_.counters.add(metrics::kWorksEntries);
  if (const auto* command = std::get_if<RecordHeartbeats>(&entry->command)) {
    for (const auto& heartbeat : command->heartbeats)
      renew_lease(heartbeat);
    if (!host_access_.leased())
      return update_host_access();
    return change_handler_ ? change_handler_() : void();
  }
  // A repeated proposal has its outcome already.
  if (holds<ReadBarrier>(*entry) || outcome.index != index)
    return;
  ++version_;
  log_(describe_applied_entry(*entry, outcome));
  // Entries applied before `attach` concern earlier incarnations, not this one.
  const auto* leave = std::get_if<Leave>(&entry->command);
  const bool left = outcome.done && leave != nullptr && leave->member == member_name();
  if (left && replica_ != nullptr)
    rejoin_after_removal();
  update_host_access();
  // The scheduler may have a next entry now.
  if (replica_ != nullptr && replica_->is_leader()) {
    services_.loop.cancel(leader_timer_);
    leader_timer_ = services_.loop.schedule_at(now(), [this] { run_leader(); });
  }
}

std::string MaintenanceReplica::snapshot() {
  return state_.snapshot().dump(-1, ' ', false, json::error_handler_t::replace);
}

bool MaintenanceReplica::restore(const std::string& snapshot) {
  if (snapshot.empty())
    return true;
  const json read = json::parse(snapshot, nullptr, false);
  ++version_;
  return read.is_object() && state_.restore(read, now());
}

void MaintenanceReplica::on_store_failure(const std::string& reason) {
  if (std::exchange(failed_, true))
    return;
  std::cerr << "lotusyard: " << reason << std::endl;
  lease_.revoke();
  services_.loop.schedule_at(now(), [this] { update_host_access(); });
}

std::optional<admin::Response> MaintenanceReplica::handle_request(const admin::Request& request) {
  const bool is_get = request.method == "GET", is_post = request.method == "POST";
  if (request.path == "/-/works")
    return is_get ? admin::Response{200, jobs_to_json(state_, member_name()).dump()}
                  : admin::Response{405, "GET"};
  if (request.path.compare(0, kPathPrefix.size(), kPathPrefix) != 0)
    return std::nullopt;
  const std::string rest = request.path.substr(kPathPrefix.size());
  const auto slash = rest.find('/');
  const std::string verb = rest.substr(0, slash),
                    argument = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (verb == "propose") {
    if (!is_post)
      return admin::Response{405, "POST"};
    const OperatorProposal proposal = parse_proposal(argument, services_.endpoint_states.listed_hosts());
    if (!proposal.entry)
      return proposal.rejection;
    const bool sent = replica_->send_to_leader(*this, json{{"e", encode_entry(*proposal.entry)}}.dump());
    return sent ? admin::Response{202, "taken"} : admin::Response{503, "no leader is known"};
  }
  if (verb != "outcome")
    return std::nullopt;
  if (!is_get)
    return admin::Response{405, "GET"};
  const auto* outcome = state_.find_outcome(argument);
  if (outcome == nullptr)
    return admin::Response{404, "unknown proposal, as of index " + std::to_string(state_.index())};
  return admin::Response{200, outcome_to_json(*outcome).dump()};
}

}  // namespace lotusyard::maintenance
