// The leader's part of MaintenanceReplica: collects heartbeats and proposes what the scheduler decides.
#include "config/json_read.h"
#include "maintenance/heartbeat_aggregator.h"
#include "maintenance/log_entry_codec.h"
#include "maintenance/maintenance_replica.h"
#include "metrics/cluster_counters.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;

constexpr Millis kProposalTimeout{10000};  // after which a proposal without a result counts as lost

}  // namespace

void MaintenanceReplica::handle_message(const std::string& text) {
  const json message = json::parse(text, nullptr, false);
  if (!message.is_object())
    return services_.counters.add(metrics::kWorksMalformed);
  if (const auto& encoded = config::key(message, "b"); !encoded.is_null()) {
    auto heartbeat = parse_heartbeat(encoded);
    return heartbeat ? handle_heartbeat(std::move(*heartbeat))
                     : services_.counters.add(metrics::kWorksMalformed);
  }
  const auto entry = parse_entry(config::text(config::key(message, "e")));
  if (!entry)
    return services_.counters.add(metrics::kWorksMalformed);
  if (!entry->proposal.empty() && state_.find_outcome(entry->proposal) != nullptr)
    return;
  const auto* join = std::get_if<Join>(&entry->command);
  if (join != nullptr && join->incarnation <= state_.last_incarnation(join->member))
    return;
  if (!replica_->propose(*this, encode_entry(*entry)))
    services_.counters.add(metrics::kWorksNotProposed);
}

void MaintenanceReplica::handle_heartbeat(Heartbeat&& heartbeat) {
  Heartbeat& pending = pending_heartbeats_[heartbeat.member];
  // Observations that are not in the log yet are kept with the newer heartbeat.
  if (!heartbeat.observations && pending.observations && pending.incarnation == heartbeat.incarnation)
    heartbeat.observations = std::move(pending.observations);
  pending = std::move(heartbeat);
}

bool MaintenanceReplica::is_ready_leader() {
  if (!replica_->is_leader())
    return false;
  const std::uint64_t term = replica_->term();
  if (ready_term_ == term)
    return true;
  if (barrier_term_ == term)
    return false;
  barrier_term_ = term;
  pending_heartbeats_.clear();
  proposal_in_flight_ = false;
  const LogEntry barrier{ReadBarrier{}, {}, {}};
  const bool proposed = replica_->propose(*this, encode_entry(barrier), [this, term](bool done) {
    if (!done)
      return;
    ready_term_ = term;
    log_("leads");
  });
  if (!proposed)
    barrier_term_ = 0;
  return false;
}

void MaintenanceReplica::propose(const LogEntry& entry) {
  proposed_at_ = now();
  proposal_in_flight_ = replica_->propose(*this, encode_entry(entry), [this, term = replica_->term()](bool) {
    if (term == ready_term_)
      proposal_in_flight_ = false;
  });
}

void MaintenanceReplica::run_leader() {
  leader_timer_ =
      services_.loop.schedule_at(now() + config_.terms.heartbeat_interval() / 2, [this] { run_leader(); });
  if (failed_ || !is_ready_leader())
    return;
  if (proposal_in_flight_ && now() - proposed_at_ < kProposalTimeout)
    return;
  const auto next = scheduler_.next_entry(state_, now());
  json reasons = scheduler_.waiting_reasons();
  const std::string waiting_reasons = reasons.dump();
  if (!pending_heartbeats_.empty() || waiting_reasons != proposed_waiting_reasons_) {
    const AggregatedHeartbeats aggregated =
        aggregate_heartbeats(std::exchange(pending_heartbeats_, {}), waiting_reasons);
    proposed_waiting_reasons_ = waiting_reasons;
    services_.counters.add(metrics::kWorksTooLong, aggregated.dropped);
    for (const LogEntry& entry : aggregated.entries)
      replica_->propose(*this, encode_entry(entry));
  }
  if (next)
    propose(*next);
}

}  // namespace lotusyard::maintenance
