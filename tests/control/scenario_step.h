// The steps of random scenarios.
#pragma once

#include <array>

namespace lotusyard::test {

enum class Step {
  wait,
  wait_long,
  change,      // an entry of the log
  reset,       // a snapshot of the log
  open,        // an invoker opens a session, sometimes while it has an earlier connection
  renew,       // its lease
  deliver,     // some of the messages queued for an invoker
  disconnect,  // its connection breaks
  close,       // it releases its lease
  restart,     // the invoker starts another process while the old one continues
  heartbeat,   // the node's own lease is renewed
  report,      // the node reports its floors
  tick,        // the node removes expired sessions
  call,        // an invoker with a lease starts a call
  resume       // an invoker requests what is missing
};
constexpr int kStepKinds = 32;

// Maps a random number to a step; the table sets how often each step occurs.
inline Step step_of(int number) {
  static const std::array<Step, kStepKinds> steps{
      Step::report,    Step::wait,      Step::wait,       Step::wait_long, Step::change,  Step::change,
      Step::change,    Step::report,    Step::open,       Step::open,      Step::open,    Step::renew,
      Step::renew,     Step::renew,     Step::renew,      Step::renew,     Step::deliver, Step::deliver,
      Step::deliver,   Step::deliver,   Step::disconnect, Step::close,     Step::restart, Step::heartbeat,
      Step::heartbeat, Step::heartbeat, Step::report,     Step::tick,      Step::call,    Step::call,
      Step::resume,    Step::reset};
  return steps[static_cast<std::size_t>(number % kStepKinds)];
}

}  // namespace lotusyard::test
