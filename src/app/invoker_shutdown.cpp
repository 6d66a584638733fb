// How an invoker ends: what is still taken, what is answered, and when it is over.
#include <algorithm>
#include <iostream>

#include "app/invoker.h"

namespace lotusyard {
namespace {

using core::Millis;
using hot_restart::ProcessRole;

constexpr Millis kComingFor{800};  // after SIGTERM connections and calls keep coming for at most 0.6 s
constexpr Millis kListenFor{500};  // new connections for at most 0.4 s of these
constexpr Millis kKillSlack{600};
constexpr Millis kWriteFor{60};  // for the answers of what was open until then
constexpr Millis kTakeFor{400};  // calls that come by then end before SIGKILL; a margin for a busy machine
constexpr Millis kTurnMost{20};  // while it ends
constexpr Millis kMostKill{
    3000};  // SIGKILL comes no sooner than the longest deadline, at most this, plus 0.7 s

}  // namespace

void Invoker::begin_shutdown() {
  shutdown_started_at_ = loop_.now();
  if (replaces()) {
    // The other process takes clients: what comes next is for it.
    front_.stop_listening();
    if (role_ != ProcessRole::sole)
      set_role(ProcessRole::draining);
  } else {
    front_.drain();
  }
  if (triggers_)
    triggers_->drain();
  if (extension_)
    extension_->drain();
}

bool Invoker::shutdown_complete() {
  // By the clock, a turn that took long would end what has come meanwhile and was not read.
  const Millis since = loop_.iteration_started() - shutdown_started_at_;
  const Millis latest = std::min(core::longest_deadline(config_->settings), kMostKill) + kKillSlack;
  // Calls that come just before their connection stops may still be out: ended with the process they
  // would be lost.
  if (since > latest)
    front_.answer_open_calls();
  bool quiet = front_.open_calls() == 0 && front_.written();
  if (replaces()) {
    // A connection that always has something open would still have at the end, and lose it.
    if (since > kTakeFor)
      front_.stop_admitting();
    quiet = front_.hand_off_connections() && quiet;
  } else {
    if (since > kListenFor)
      front_.stop_listening();
    quiet = quiet && since > kComingFor;
  }
  if (since > latest + kWriteFor)
    return true;
  if (!quiet || (triggers_ && !triggers_->done()) || (admin_endpoint_ && !admin_endpoint_->quiet()))
    return false;
  // What clients have sent by now is read and answered before the end; to be refused is harmless.
  front_.answer_open_calls();
  return !front_.drain_sockets() && front_.written();
}

void Invoker::run() {
  while (true) {
    Millis due = dispatcher_.next_deadline();
    if (is_shutting_down())
      due = std::min(due, loop_.now() + kTurnMost);
    loop_.run_once(due, [this] {
      dispatcher_.tick();
      if (extension_)
        extension_->before_writes();
    });
    if (signals_.print_requested())
      counters_.print(std::cout);
    if (signals_.reload_requested())
      reload_configuration();
    if (signals_.terminate_requested() && !is_shutting_down())
      begin_shutdown();
    if (is_shutting_down() && shutdown_complete())
      break;
  }
  if (triggers_)
    triggers_->close();
  loop_.run_once(loop_.now(), [] {});
  counters_.print(std::cout);
}

}  // namespace lotusyard
