// An estimate of the wall clock that allows for steps. The wall clock can be set forwards or back at any
// time, and which setting was right cannot be determined, so for a while after a step both are considered.
#pragma once

#include <deque>
#include <functional>

#include "lotusyard/policy/policy.h"

namespace lotusyard::net {

using policy::Millis;

// The clocks of the system, or those of a test.
struct Clocks {
  std::function<Millis()> steady;
  std::function<Millis()> wall;  // Unix milliseconds
  static Clocks system();
};

// What the wall clock reads now, and the range of what it would read by the settings that are still in doubt.
struct WallTime {
  Millis earliest{0};
  Millis current{0};
  Millis latest{0};
};

// Tracks the offset of the wall clock to the steady clock. Has no clock of its own: readings are passed in.
class WallClock {
 public:
  static constexpr Millis kMinStep{100};           // a smaller change is slewing
  static constexpr Millis kMaxDoubt{2 * 3600e3};   // an earlier setting counts no longer than this
  static constexpr std::size_t kMaxSettings = 16;  // earlier settings that are kept

  WallClock(Millis steady, Millis wall) : offset_(wall - steady), start_offset_(offset_) {}

  // Takes readings of both clocks at the same time.
  void observe(Millis steady, Millis wall);

  // An earlier process of this machine has read `wall`, before now. If that is ahead of the present setting,
  // the clock was set back since then.
  void record_earlier_reading(Millis steady, Millis wall);

  // An earlier setting counts until the size of its step, and `retention`, have passed since the step was
  // detected. By then, a time that had passed by the earlier setting has passed by the present one too.
  WallTime read(Millis steady, Millis retention) const;

  bool has_stepped() const { return stepped_; }
  Millis start_offset() const { return start_offset_; }

 private:
  struct EarlierSetting {
    Millis offset{0};       // of the wall clock to the steady clock
    Millis replaced_at{0};  // by the steady clock
    Millis step{0};         // the size of the step that replaced it
  };

  Millis offset_;
  Millis start_offset_;
  bool stepped_ = false;
  std::deque<EarlierSetting> earlier_;

  void add_earlier(const EarlierSetting& setting);
};

}  // namespace lotusyard::net
