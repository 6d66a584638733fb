// The settings that most tests start from.
#pragma once

#include "core/types.h"

namespace lotusyard::test {

using core::Millis;

inline core::Settings settings() {
  core::Settings s;
  s.classes.resize(2);
  s.classes[0].name = "bin-check";
  s.classes[0].semantics = lotusyard::policy::Semantics::idempotent;
  s.classes[1].name = "bin-record";
  for (auto& c : s.classes)
    c.latency_objective = c.deadline = Millis(1500);
  s.tick = Millis(4);
  s.response_grace = Millis(16);
  s.endpoint_list.drain_grace = Millis(2000);
  s.host_protocol.instance_idle_timeout = Millis(9000);
  s.load_orders.timeout = Millis(10000);
  s.host_protocol.connect_timeout = Millis(250);
  s.host_protocol.answers_misses = s.load_orders.allowed = s.host_protocol.cancels =
      s.host_protocol.accepts_probes = true;
  s.retries.max_attempts = 4;
  s.rejections.sends_retry_after = true;
  s.rejections.max_retry_after = Millis(500);
  s.seed = 7;
  return s;
}

// The same with a third class, "booking", that requires an idempotency key, and with hedged requests.
inline core::Settings keyed_settings(Millis window) {
  core::Settings s = settings();
  s.classes.push_back(s.classes[0]);
  s.classes[2].name = "booking";
  s.classes[2].semantics = lotusyard::policy::Semantics::idempotent_with_key;
  s.classes[2].key_window = window;
  s.retries.hedged_requests = true;
  s.retries.max_attempts = 3;
  return s;
}

}  // namespace lotusyard::test
