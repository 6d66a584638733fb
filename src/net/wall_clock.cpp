#include "net/wall_clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lotusyard::net {
namespace {

Millis magnitude(Millis step) { return Millis(std::fabs(step.count())); }

template <typename Clock>
Millis now_of() {
  return Millis(Clock::now().time_since_epoch());
}

}  // namespace

Clocks Clocks::system() { return {&now_of<std::chrono::steady_clock>, &now_of<std::chrono::system_clock>}; }

void WallClock::observe(Millis steady, Millis wall) {
  const Millis offset = wall - steady;
  const Millis step = magnitude(offset - offset_);
  if (step >= kMinStep) {
    stepped_ = true;
    add_earlier({offset_, steady, step});
  }
  offset_ = offset;
}

void WallClock::record_earlier_reading(Millis steady, Millis wall) {
  const Millis offset = wall - steady;
  const auto covers = [&](const EarlierSetting& setting) { return setting.offset >= offset; };
  if (offset - offset_ < kMinStep || std::any_of(earlier_.begin(), earlier_.end(), covers))
    return;
  stepped_ = true;
  add_earlier({offset, steady, offset - offset_});
}

void WallClock::add_earlier(const EarlierSetting& setting) {
  earlier_.push_back(setting);
  if (earlier_.size() > kMaxSettings)
    earlier_.pop_front();
}

WallTime WallClock::read(Millis steady, Millis retention) const {
  const Millis current = steady + offset_;
  WallTime time{current, current, current};
  for (const auto& setting : earlier_) {
    const Millis counts_for = std::min(setting.step + retention, kMaxDoubt);
    if (steady - setting.replaced_at >= counts_for)
      continue;
    time.earliest = std::min(time.earliest, steady + setting.offset);
    time.latest = std::max(time.latest, steady + setting.offset);
  }
  return time;
}

}  // namespace lotusyard::net
