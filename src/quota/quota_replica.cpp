#include "quota/quota_replica.h"

#include <algorithm>

namespace lotusyard::quota {
namespace {

constexpr double kNothing = 1e-9;  // of a share: to the module 0 would mean that none is set
constexpr int kAgain = 4;          // turns after which a proposal that changed nothing is made again

}  // namespace

QuotaReplica::QuotaReplica(const InvokerServices& wiring, const raft::Config& config,
                           maintenance::MaintenanceReplica& coordinator, LogSink note)
    : services_(wiring),
      config_(config),
      maintenance_(coordinator),
      log_(std::move(note)),
      epoch_began_at_(wiring.loop.now()) {}

void QuotaReplica::attach(raft::RaftReplica& member) {
  replica_ = &member;
  update(0);
  run_leader();
}

void QuotaReplica::run_leader() {
  const Millis now = services_.loop.now(), pace = config_.terms.heartbeat_interval() / 2;
  leader_timer_ = services_.loop.schedule_at(now + pace, [this] { run_leader(); });
  if (!maintenance_.is_ready_leader() || now - proposed_ < pace * kAgain) return;
  std::map<std::string, HolderProgress> signs;
  for (const auto& [name, m] : maintenance_.state().members()) {
    if (m.serves) signs[name] = {m.incarnation, m.applied_index, m.last_heartbeat_at};
  }
  if (const auto entry = next_entry(epochs_, signs, config_.terms, epoch_began_at_, now)) {
    if (replica_->propose(*this, encode_entry(*entry))) proposed_ = now;
  }
}

void QuotaReplica::apply(std::uint64_t index, const std::string& text) {
  const auto entry = parse_entry(text);
  if (!entry) {
    services_.counters.add("shares.unreadable");
    return maintenance_.on_store_failure("entry " + std::to_string(index) +
                                         " of the log is of another version of the program");
  }
  proposed_ = Millis(0);
  if (!epochs_.apply(index, *entry)) return;
  services_.counters.add(entry->kind == LogEntry::Kind::begin_epoch ? "shares.parted" : "shares.opened");
  if (entry->kind == LogEntry::Kind::begin_epoch) epoch_began_at_ = services_.loop.now();
  update(members_seen_);
}

bool QuotaReplica::restore(const std::string& snapshot) {
  if (snapshot.empty()) return true;
  return epochs_.restore(nlohmann::json::parse(snapshot, nullptr, false));
}

void QuotaReplica::update(std::size_t seen) {
  members_seen_ = seen;
  if (replica_ == nullptr) return;
  const double part =
      epochs_.share_of(config_.member, replica_->incarnation(), maintenance_.is_leased(), seen);
  if (part == share_) return;
  share_ = part;
  log_("part=" + std::to_string(part) + " round=" + std::to_string(epochs_.epoch_index()) +
       " sharers=" + std::to_string(epochs_.current_holders().size()) + " seen=" + std::to_string(seen));
  services_.set_share(std::max(part, kNothing));
}

}  // namespace lotusyard::quota
