#include "net/wall_clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lotusyard::net {
namespace {

Millis size_of(Millis step) { return Millis(std::fabs(step.count())); }

template <typename Clock>
Millis now_of() {
  return Millis(Clock::now().time_since_epoch());
}

}  // namespace

Clocks Clocks::system() { return {&now_of<std::chrono::steady_clock>, &now_of<std::chrono::system_clock>}; }

void WallClock::observe(Millis steady, Millis wall) {
  const Millis offset = wall - steady;
  const Millis step = size_of(offset - offset_);
  if (step >= step_least) {
    stepped_ = true;
    doubt({offset_, steady, step});
  }
  offset_ = offset;
}

void WallClock::remember(Millis steady, Millis wall) {
  const Millis offset = wall - steady;
  const auto covers = [&](const Setting& setting) { return setting.offset >= offset; };
  if (offset - offset_ < step_least || std::any_of(earlier_.begin(), earlier_.end(), covers))
    return;
  stepped_ = true;
  doubt({offset, steady, offset - offset_});
}

void WallClock::doubt(const Setting& setting) {
  earlier_.push_back(setting);
  if (earlier_.size() > settings_most)
    earlier_.pop_front();
}

WallTime WallClock::read(Millis steady, Millis memory) const {
  WallTime out{steady + offset_, steady + offset_, steady + offset_};
  for (const auto& setting : earlier_) {
    const Millis doubted_for = std::min(setting.step + memory, doubt_most);
    if (steady - setting.replaced_at >= doubted_for)
      continue;
    out.earliest = std::min(out.earliest, steady + setting.offset);
    out.latest = std::max(out.latest, steady + setting.offset);
  }
  return out;
}

}  // namespace lotusyard::net
