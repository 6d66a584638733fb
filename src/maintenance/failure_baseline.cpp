#include "maintenance/failure_baseline.h"

#include <cmath>

namespace lotusyard::maintenance {
namespace {

constexpr Millis kTimeConstant{60000};  // longer than one host is usually out
constexpr double kMaxRise = 0.05;

}  // namespace

void FailureBaseline::update(double share, bool undisturbed, Millis now) {
  const bool is_first = updated_at_.count() == 0;
  if (is_first) {
    share_ = share;
  } else if (undisturbed || share < share_) {
    const double weight = 1 - std::exp(-((now - updated_at_) / kTimeConstant));
    share_ += weight * (share - share_);
  }
  updated_at_ = now;
}

bool FailureBaseline::is_exceeded_by(double share) const { return share > share_ + kMaxRise; }

}  // namespace lotusyard::maintenance
