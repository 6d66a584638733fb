#include "hosts/silence_monitor.h"

#include <algorithm>

namespace lotusyard::hosts {
namespace {

// The allowed silence doubles with each probe since the last answer, up to this many times.
constexpr int kMaxSilenceDoublings = 4;
// The answer to a probe does not wait in the host's queue of calls.
constexpr Millis kProbeTimeout{250};
// The longest pause between two pieces of an answer; after a longer one, the rest is taken to be lost.
constexpr Millis kMaxPauseInAnswer{200};
// The longest time between the first and the last piece of an answer.
constexpr Millis kMaxAnswerDuration{2000};

}  // namespace

void SilenceMonitor::record_parsed(bool has_partial_answer, bool completed_answers) {
  if (!has_partial_answer) {
    partial_answer_since_ = Millis(0);
  } else if (partial_answer_since_.count() == 0 || completed_answers) {
    partial_answer_since_ = last_received_at_;
  }
}

void SilenceMonitor::record_probe(Millis now) {
  probed_at_ = now;
  ++probes_since_answer_;
}

SilenceMonitor::Action SilenceMonitor::check(Millis now, Millis max_silence, bool has_attempts) const {
  if (is_answer_broken_off(now))
    return Action::close_incomplete;
  if (is_probe_outstanding() && now - probed_at_ > kProbeTimeout)
    return Action::close_unresponsive;
  if (!has_attempts || is_probe_outstanding())
    return Action::none;
  const Millis allowed = max_silence * (1 << std::min(probes_since_answer_, kMaxSilenceDoublings));
  const Millis silent_for = now - std::max(last_received_at_, last_sent_at_);
  return silent_for > allowed ? Action::send_probe : Action::none;
}

// A long answer, or one that arrives in small pieces, may take long without a fault, so pauses and the total
// duration have separate limits.
bool SilenceMonitor::is_answer_broken_off(Millis now) const {
  if (partial_answer_since_.count() <= 0)
    return false;
  return now - last_received_at_ > kMaxPauseInAnswer || now - partial_answer_since_ > kMaxAnswerDuration;
}

}  // namespace lotusyard::hosts
