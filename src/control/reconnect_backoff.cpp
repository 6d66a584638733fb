#include "control/reconnect_backoff.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::control {
namespace {

constexpr int kMaxDoublings = 30;
constexpr int kMaxDoublingsWithRetryAfter = 1;
constexpr Millis kMinWait{1};  // for any configuration, so that nothing spins

}  // namespace

Millis ReconnectBackoff::next_wait() {
  const Millis bound = std::min(max_initial_ * std::exp2(failures_), max_);
  failures_ = std::min(failures_ + 1, kMaxDoublings);
  const double fraction = std::uniform_real_distribution<double>(0, 1)(random_);
  return std::max(bound * fraction, kMinWait);
}

void ReconnectBackoff::on_retry_after() { failures_ = std::min(failures_, kMaxDoublingsWithRetryAfter); }

}  // namespace lotusyard::control
