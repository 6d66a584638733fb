// What was decided for a host while this machine lacked what a new connection takes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// It has not gone out, so none of it can have run.
struct WaitingSend {
  enum class Kind { attempt, probe, load_order };
  Kind kind = Kind::attempt;
  std::string host;
  Millis since{0};
  Millis until{0};       // it is of no use any more
  Millis move_on_at{0};  // another host may have it from then on; of an attempt
  core::Attempt attempt;
  core::Call call;
  std::uint64_t function = 0;  // of a load order, as is `copies`
  int copies = 0;
};

// How often a new connection is tried for while each try fails for this machine's sake.
class ConnectBackoff {
 public:
  void failed(Millis now) {
    pause_ = pause_.count() > 0 ? std::min(pause_ * 2, kMost) : kLeast;
    next_try_ = now + pause_;
    trouble_until_ = next_try_ + kSpell;
  }
  void succeeded() { *this = ConnectBackoff(); }
  bool calm() const { return trouble_until_.count() == 0; }
  bool may_try(Millis now) const { return now >= next_try_; }
  Millis next_try() const { return next_try_; }
  // Whether what already stands is to be made the most of.
  bool in_trouble(Millis now) const { return now < trouble_until_; }

 private:
  static constexpr Millis kLeast{2}, kMost{50};
  static constexpr Millis kSpell{20};
  Millis pause_{0}, next_try_{0}, trouble_until_{0};
};

// Bounded by what is open: an attempt waits at most once, an order or a probe as often as it was decided.
class WaitingSends {
 public:
  void add(WaitingSend&& send) { sends_.push_back(std::move(send)); }
  bool remove(const core::Attempt& attempt) {
    const auto same = [&](const WaitingSend& send) {
      return send.kind == WaitingSend::Kind::attempt && send.attempt == attempt;
    };
    const auto found = std::find_if(sends_.begin(), sends_.end(), same);
    if (found == sends_.end())
      return false;
    sends_.erase(found);
    return true;
  }
  std::vector<WaitingSend> take_all() { return std::exchange(sends_, {}); }
  std::vector<WaitingSend> take_host(const std::string& host) {
    const auto of_others = [&](const WaitingSend& send) { return send.host != host; };
    const auto middle = std::stable_partition(sends_.begin(), sends_.end(), of_others);
    std::vector<WaitingSend> taken(std::make_move_iterator(middle), std::make_move_iterator(sends_.end()));
    sends_.erase(middle, sends_.end());
    return taken;
  }
  bool empty() const { return sends_.empty(); }

 private:
  std::vector<WaitingSend> sends_;
};

}  // namespace lotusyard::hosts
