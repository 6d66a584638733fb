#include "control/offline_floor.h"

#include <algorithm>

namespace lotusyard::control {
namespace {

constexpr double kMarks = 256;  // kept over the whole time, at most

}  // namespace

OfflineFloor::OfflineFloor(const raft::LeaseTerms& terms, Millis accounted_from)
    : offline_(terms.max_offline * (1 + terms.clock_drift)),
      accounted_from_(accounted_from),
      unaccounted_until_(accounted_from + offline_) {}

void OfflineFloor::vanished(Millis lease_ended) {
  unaccounted_until_ = std::max(unaccounted_until_, lease_ended + offline_);
}

// A mark that is left out makes the floor lower, never higher.
void OfflineFloor::reported(Index applied, Millis now) {
  if (now < accounted_from_)
    return;
  const bool news = marks_.empty() || applied > marks_.back().applied;
  const bool apart = marks_.empty() || now - marks_.back().at >= offline_ / kMarks;
  if (news && apart && applied > long_ago_)
    marks_.push_back({now, applied});
}

Index OfflineFloor::followed(Index known, Millis now) {
  while (!marks_.empty() && now - marks_.front().at >= offline_) {
    long_ago_ = marks_.front().applied;
    marks_.pop_front();
  }
  return now >= unaccounted_until_ ? std::max(known, long_ago_) : long_ago_;
}

}  // namespace lotusyard::control
