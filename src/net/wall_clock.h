// Which times the wall clock may stand at, by the steady clock. It can be set forwards or back at any time,
// and nothing tells which setting was right: for a while after a step both count. No I/O; readings are passed
// in.
#pragma once

#include <deque>
#include <functional>

#include "lotusyard/policy/policy.h"

namespace lotusyard::net {

using policy::Millis;

// The system's clocks, or those of a test. A `wall` reading is in Unix milliseconds.
struct Clocks {
  std::function<Millis()> steady, wall;
  static Clocks system();
};

// What the wall clock reads now, and what it would read by the settings that are still in doubt.
struct WallTime {
  Millis earliest{0}, current{0}, latest{0};
};

class WallClock {
 public:
  static constexpr Millis step_least{100};         // less is taken for slewing
  static constexpr Millis doubt_most{2 * 3600e3};  // for how long an earlier setting counts, at most
  static constexpr std::size_t settings_most = 16;

  WallClock(Millis steady, Millis wall) : offset_(wall - steady), start_offset_(offset_) {}

  void observe(Millis steady, Millis wall);
  // An earlier process of this machine read `wall` before now: if that is ahead, the clock was set back.
  void remember(Millis steady, Millis wall);
  // An earlier setting counts until the size of its step, and `memory`, have passed since the step was seen.
  // Whatever was over by that setting at the step is over by the present one by then.
  WallTime read(Millis steady, Millis memory) const;
  bool has_stepped() const { return stepped_; }
  Millis start_offset() const { return start_offset_; }

 private:
  struct Setting {
    Millis offset{0}, replaced_at{0}, step{0};
  };
  Millis offset_, start_offset_;
  bool stepped_ = false;
  std::deque<Setting> earlier_;

  void doubt(const Setting& setting);
};

}  // namespace lotusyard::net
