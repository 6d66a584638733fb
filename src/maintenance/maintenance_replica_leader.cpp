// What the one member that leads does for works: it gathers signs of life and proposes what the order says.
#include "config/json_read.h"
#include "maintenance/heartbeat_aggregator.h"
#include "maintenance/maintenance_replica.h"

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;
using Kind = LogEntry::Kind;

constexpr Millis kFlightMost{10000};  // a proposal that is not answered for so long is taken as lost

}  // namespace

void MaintenanceReplica::handle_message(const std::string& word) {
  const json read = json::parse(word, nullptr, false);
  if (!read.is_object()) return services_.counters.add("works.malformed");
  if (const auto& b = config::key(read, "b"); !b.is_null()) {
    auto beat = parse_heartbeat(b);
    return beat ? handle_heartbeat(std::move(*beat)) : services_.counters.add("works.malformed");
  }
  const auto entry = parse_entry(config::text(config::key(read, "e")));
  if (!entry) return services_.counters.add("works.malformed");
  if (!entry->proposal.empty() && state_.find_outcome(entry->proposal) != nullptr) return;
  if (entry->kind == Kind::join && entry->incarnation <= state_.last_incarnation(entry->member)) return;
  if (!replica_->propose(*this, encode_entry(*entry))) services_.counters.add("works.not_proposed");
}

void MaintenanceReplica::handle_heartbeat(Heartbeat&& beat) {
  Heartbeat& held = pending_heartbeats_[beat.member];
  // What was seen and is not in the log yet goes with the newer sign of life.
  if (!beat.observations && held.observations && held.incarnation == beat.incarnation)
    beat.observations = std::move(held.observations);
  held = std::move(beat);
}

bool MaintenanceReplica::is_ready_leader() {
  if (!replica_->is_leader()) return false;
  const std::uint64_t term = replica_->term();
  if (led_term_ == term) return true;
  if (readying_term_ == term) return false;
  readying_term_ = term;
  pending_heartbeats_.clear();
  in_flight_ = false;
  LogEntry ask;
  const bool asked = replica_->propose(*this, encode_entry(ask), [this, term](bool done) {
    if (!done) return;
    led_term_ = term;
    log_("leads");
  });
  if (!asked) readying_term_ = 0;
  return false;
}

void MaintenanceReplica::propose(const LogEntry& entry) {
  flown_at_ = now();
  in_flight_ = replica_->propose(*this, encode_entry(entry), [this, term = replica_->term()](bool) {
    if (term == led_term_) in_flight_ = false;
  });
}

void MaintenanceReplica::run_leader() {
  leader_timer_ =
      services_.loop.schedule_at(now() + config_.terms.heartbeat_interval() / 2, [this] { run_leader(); });
  if (failed_ || !is_ready_leader()) return;
  if (in_flight_ && now() - flown_at_ < kFlightMost) return;
  const auto next = scheduler_.next_entry(state_, now());
  json waits = scheduler_.waiting_reasons();
  const std::string told = waits.dump();
  if (!pending_heartbeats_.empty() || told != proposed_waiting_reason_) {
    const AggregatedHeartbeats gathered = aggregate_heartbeats(std::exchange(pending_heartbeats_, {}), told);
    proposed_waiting_reason_ = told;
    services_.counters.add("works.too_long", gathered.dropped);
    for (const LogEntry& beats : gathered.entries) replica_->propose(*this, encode_entry(beats));
  }
  if (next) propose(*next);
}

}  // namespace lotusyard::maintenance
