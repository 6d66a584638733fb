#include "quota/quota_replica.h"

#include <algorithm>
#include <map>
#include <utility>

#include "metrics/cluster_counters.h"
#include "quota/epoch_planner.h"
#include "quota/log_entry_codec.h"

namespace lotusyard::quota {
namespace {

// Passed to the policy in place of a share of 0, which the policy interprets as
// "no share is set".
constexpr double kSmallestShare = 1e-9;

Millis period_of(const raft::Config& config) { return config.terms.heartbeat_interval() / 2; }

}  // namespace

QuotaReplica::QuotaReplica(const InvokerServices& services, const raft::Config& config,
                           maintenance::MaintenanceReplica& maintenance, LogSink log)
    : services_(services),
      config_(config),
      maintenance_(maintenance),
      log_(std::move(log)),
      epoch_began_at_(services.loop.now()),
      proposal_retry_(period_of(config)) {}

void QuotaReplica::attach(raft::RaftReplica& replica) {
  replica_ = &replica;
  update(0);
  run_leader();
}

void QuotaReplica::run_leader() {
  const Millis now = services_.loop.now();
  leader_timer_ = services_.loop.schedule_at(now + period_of(config_), [this] { run_leader(); });
  if (maintenance_.is_ready_leader() && proposal_retry_.may_propose(now)) {
    propose_next_entry(now);
  }
}

void QuotaReplica::propose_next_entry(Millis now) {
  std::map<std::string, HolderProgress> progress;
  for (const auto& [name, member] : maintenance_.state().members()) {
    if (member.serves) {
      progress[name] = {member.incarnation, member.applied_index, member.last_heartbeat_at};
    }
  }
  const auto entry = next_entry(epochs_, progress, config_.terms, epoch_began_at_, now);
  if (entry && replica_->propose(*this, encode_entry(*entry))) {
    proposal_retry_.on_proposed(now);
  }
}

void QuotaReplica::apply(std::uint64_t index, const std::string& text) {
  const auto entry = parse_entry(text);
  if (!entry) {
    services_.counters.add(metrics::kSharesUnreadable);
    return maintenance_.on_store_failure("log entry " + std::to_string(index) +
                                         " was written by another version of the program");
  }
  proposal_retry_.on_applied();
  if (!epochs_.apply(index, *entry)) {
    return;
  }
  const bool has_begun = std::holds_alternative<BeginEpoch>(*entry);
  services_.counters.add(has_begun ? metrics::kSharesParted : metrics::kSharesOpened);
  if (has_begun) {
    epoch_began_at_ = services_.loop.now();
  }
  update(members_seen_);
}

bool QuotaReplica::restore(const std::string& snapshot) {
  if (snapshot.empty()) {
    return true;
  }
  return epochs_.restore(nlohmann::json::parse(snapshot, nullptr, false));
}

void QuotaReplica::update(std::size_t members_seen) {
  members_seen_ = members_seen;
  if (replica_ == nullptr) {
    return;
  }
  const double share =
      epochs_.share_of(config_.member, replica_->incarnation(), maintenance_.is_leased(), members_seen);
  if (share == share_) {
    return;
  }
  share_ = share;
  log_("part=" + std::to_string(share) + " round=" + std::to_string(epochs_.epoch_index()) + " sharers=" +
       std::to_string(epochs_.current_holders().size()) + " seen=" + std::to_string(members_seen));
  services_.set_share(std::max(share, kSmallestShare));
}

}  // namespace lotusyard::quota
