#include "control/offline_floor.h"

#include <algorithm>

namespace lotusyard::control {
namespace {

constexpr double kMaxReports = 256;  // within the offline time

}  // namespace

OfflineFloor::OfflineFloor(const raft::LeaseTerms& terms, Millis accounted_from)
    : max_offline_(terms.max_offline * (1 + terms.clock_drift)),
      accounted_from_(accounted_from),
      unaccounted_until_(accounted_from + max_offline_) {}

void OfflineFloor::on_session_lost(Millis lease_ended) {
  unaccounted_until_ = std::max(unaccounted_until_, lease_ended + max_offline_);
}

// A report that is left out makes the floor lower, never higher.
void OfflineFloor::on_reported(Index applied, Millis now) {
  if (now < accounted_from_ || applied <= applied_before_offline_)
    return;
  const bool is_first = reports_.empty();
  const bool is_higher = is_first || applied > reports_.back().applied;
  const bool is_late_enough = is_first || now - reports_.back().at >= max_offline_ / kMaxReports;
  if (is_higher && is_late_enough)
    reports_.push_back({now, applied});
}

Index OfflineFloor::followed(Index known, Millis now) {
  while (!reports_.empty() && now - reports_.front().at >= max_offline_) {
    applied_before_offline_ = reports_.front().applied;
    reports_.pop_front();
  }
  const bool all_accounted_for = now >= unaccounted_until_;
  return all_accounted_for ? std::max(known, applied_before_offline_) : applied_before_offline_;
}

}  // namespace lotusyard::control
