// Decides when a connection that is silent, or stalled within an answer, is probed or closed.
#pragma once

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// Calls on a connection over which nothing arrives any more, or never the rest of an answer, would wait until
// their deadlines although the host serves other connections. A liveness probe tells such a connection from a
// busy host. Does no I/O; the connection passes the time in.
class SilenceMonitor {
 public:
  enum class Action { none, send_probe, close_unresponsive, close_incomplete };

  void record_sent(Millis now) { last_sent_at_ = now; }
  void record_received(Millis now) { last_received_at_ = now; }
  // Called after received bytes were parsed: whether an incomplete answer is buffered, and whether any answer
  // was completed.
  void record_parsed(bool has_partial_answer, bool completed_answers);
  // An attempt was answered, so the host works.
  void record_attempt_answered() { probes_since_answer_ = 0; }
  void record_probe(Millis now);
  // The probe that was recorded last was not sent after all.
  void discard_probe() { probed_at_ = Millis(0); }

  Millis last_received_at() const { return last_received_at_; }
  // Returns what to do with an open connection that has requests in flight. `max_silence`: how long it may be
  // silent before the first probe; probes are sent only if attempts are in flight.
  Action check(Millis now, Millis max_silence, bool has_attempts) const;

 private:
  bool is_answer_broken_off(Millis now) const;
  bool is_probe_outstanding() const { return probed_at_ > last_received_at_; }

  Millis last_received_at_{0};
  Millis last_sent_at_{0};
  Millis partial_answer_since_{0};  // 0: no incomplete answer
  Millis probed_at_{0};
  int probes_since_answer_ = 0;
};

}  // namespace lotusyard::hosts
