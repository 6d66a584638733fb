// The heartbeats of MaintenanceReplica: what they carry, the lease that they renew, and the incarnation under
// which they are sent.
#include <algorithm>

#include "core/fault_injection.h"
#include "maintenance/log_entry_codec.h"
#include "maintenance/maintenance_replica.h"
#include "metrics/cluster_counters.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

constexpr int kHeartbeatsPerObservation = 8;  // unchanged observations are sent again after so many

}  // namespace

void MaintenanceReplica::send_to_leader(const json& message) {
  if (!replica_->send_to_leader(*this, message.dump(-1, ' ', false, json::error_handler_t::replace)))
    services_.counters.add(metrics::kWorksNoLeader);
}

void MaintenanceReplica::send_heartbeat() {
  const Millis interval = config_.terms.heartbeat_interval();
  heartbeat_timer_ = services_.loop.schedule_at(now() + interval, [this] { send_heartbeat(); });
  if (failed_ || !replica_->is_member() || !config_.serves)
    return;
  const auto self = state_.members().find(member_name());
  if (self == state_.members().end() || self->second.incarnation != replica_->incarnation()) {
    overtake_earlier_incarnation();
    const Join join{member_name(), replica_->incarnation(), true};
    return send_to_leader({{"e", encode_entry({join, {}, {}})}});
  }
  has_joined_ = true;
  Heartbeat heartbeat{member_name(),
                      replica_->incarnation(),
                      now().count(),
                      state_.index(),
                      {},
                      host_access_.observe(state_)};
  const auto sessions =
      aggregate_source_ ? std::optional<SessionAggregate>(aggregate_source_()) : std::nullopt;
  if (sessions) {
    heartbeat.applied_index = std::min(heartbeat.applied_index, sessions->applied_index);
    heartbeat.followed_index = std::min(heartbeat.applied_index, sessions->followed_index);
  }
  if (merge_observations_)
    heartbeat.observations = merge_observations_(std::move(*heartbeat.observations));
  heartbeat.drained_hosts = drained_hosts(sessions ? &*sessions : nullptr);
  json encoded = heartbeat_to_json(heartbeat);
  std::string observations = encoded["v"].dump();
  if (observations == last_sent_observations_ &&
      ++heartbeats_without_observations_ < kHeartbeatsPerObservation) {
    encoded.erase("v");
  } else {
    last_sent_observations_ = std::move(observations);
    heartbeats_without_observations_ = 0;
  }
  send_to_leader({{"b", encoded}});
}

// A member that lost its store derives its incarnation from the clock. If the clock was set back meanwhile,
// the incarnation is lower than the one in the log, and the member would never be admitted. This is only done
// before the first join of this process: otherwise two processes with one name would supersede each other
// forever.
void MaintenanceReplica::overtake_earlier_incarnation() {
  const std::uint64_t last = state_.last_incarnation(member_name());
  if (has_joined_ || last < replica_->incarnation())
    return;
  try {
    const std::uint64_t incarnation = replica_->begin_new_incarnation(last);
    services_.counters.add(metrics::kWorksLivesPassed);
    log_("life=" + std::to_string(incarnation) + " starts: the log already has life " + std::to_string(last));
  } catch (const std::exception& error) {
    on_store_failure(error.what());
  }
}

std::set<std::string> MaintenanceReplica::drained_hosts(const SessionAggregate* sessions) const {
  std::set<std::string> out;
  for (const auto& [id, host] : state_.hosts()) {
    const bool is_out = host.stage == HostStage::draining || host.stage == HostStage::out_of_service;
    if (!is_out || !host_access_.is_avoided(id))
      continue;
    const bool own_quiesced =
        lease_.earlier_attempts_ended(now()) && services_.host_connections.has_no_calls(id);
    const bool sessions_quiesced = sessions == nullptr || sessions->quiesced_index >= host.selected_at_index;
    if ((own_quiesced && sessions_quiesced) || fault_injected("drain"))
      out.insert(id);
  }
  return out;
}

// Renews the lease by a heartbeat of this process. Heartbeats of earlier processes of this member are only
// used as readings of their wall clocks.
void MaintenanceReplica::renew_lease(const Heartbeat& heartbeat) {
  if (heartbeat.member != member_name())
    return;
  const bool this_incarnation = replica_ != nullptr && heartbeat.incarnation == replica_->incarnation();
  if (!this_incarnation)
    return services_.loop.record_wall_time(Millis(heartbeat.sent_at));
  // The heartbeat may have been in flight when the member was removed or began a new incarnation.
  const auto self = state_.members().find(heartbeat.member);
  const bool is_current = self != state_.members().end() && self->second.incarnation == heartbeat.incarnation;
  if (is_current)
    lease_.renew(heartbeat.sent_at);
}

// This member was declared permanently gone, but is running.
void MaintenanceReplica::rejoin_after_removal() {
  lease_ = raft::Lease(config_.terms, now());
  begin_new_incarnation();
}

// A new incarnation is used only once it is stored; transient store errors are retried.
void MaintenanceReplica::begin_new_incarnation() {
  try {
    log_("life=" + std::to_string(replica_->begin_new_incarnation()) +
         " starts: this member was declared permanently gone");
  } catch (const raft::LogStoreError& error) {
    if (!error.transient())
      return on_store_failure(error.what());
    services_.loop.cancel(incarnation_timer_);
    incarnation_timer_ = services_.loop.schedule_at(now() + config_.terms.heartbeat_interval(),
                                                    [this] { begin_new_incarnation(); });
  } catch (const std::exception& error) {
    on_store_failure(error.what());
  }
}

}  // namespace lotusyard::maintenance
