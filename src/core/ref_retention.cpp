#include "core/ref_retention.h"

#include <algorithm>

namespace lotusyard::core {
namespace {

// A host may answer this long after the call has ended, or for the longest deadline if that is longer.
constexpr Millis kMinRefRetention{10000};
// Bounds the memory; the oldest refs are dropped first.
constexpr std::size_t kMaxEndedRefs = 8192;

}  // namespace

void RefRetention::apply_settings(const Settings& settings) {
  retention_ = std::max(kMinRefRetention, longest_deadline(settings));
}

void RefRetention::retain(const std::string& ref, Millis now) {
  ended_.push_back({now, ref});
  expire(now);
}

void RefRetention::expire(Millis now) {
  while (!ended_.empty() && is_oldest_expired(now)) {
    refs_.erase(ended_.front().ref);
    ended_.pop_front();
  }
}

bool RefRetention::is_oldest_expired(Millis now) const {
  return now - ended_.front().ended_at > retention_ || ended_.size() > kMaxEndedRefs;
}

}  // namespace lotusyard::core
