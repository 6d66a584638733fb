// The steps of a made-up course.
#pragma once

#include <array>

namespace lotusyard::test {

enum class Step {
  wait,
  wait_long,
  change,      // an entry of the log
  reset,       // a snapshot of the log
  open,        // an invoker opens a session, at times while its earlier link stands
  renew,       // its lease
  deliver,     // some of what waits for an invoker
  disconnect,  // its link breaks
  close,       // it gives its lease up
  restart,     // the invoker has another process, while the old one lives on
  beat,        // the node's own lease is renewed
  report,      // it reports
  tick,        // it forgets
  call,        // an invoker with a lease begins a call
  resume       // an invoker asks for what it has not got
};
constexpr int kStepKinds = 32;

// The step that a number stands for; each comes as often as it is to.
inline Step step_of(int number) {
  static const std::array<Step, kStepKinds> steps{
      Step::report,  Step::wait,    Step::wait,       Step::wait_long, Step::change,  Step::change,
      Step::change,  Step::report,  Step::open,       Step::open,      Step::open,    Step::renew,
      Step::renew,   Step::renew,   Step::renew,      Step::renew,     Step::deliver, Step::deliver,
      Step::deliver, Step::deliver, Step::disconnect, Step::close,     Step::restart, Step::beat,
      Step::beat,    Step::beat,    Step::report,     Step::tick,      Step::call,    Step::call,
      Step::resume,  Step::reset};
  return steps[static_cast<std::size_t>(number % kStepKinds)];
}

}  // namespace lotusyard::test
