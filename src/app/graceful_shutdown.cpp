#include "app/graceful_shutdown.h"

#include <algorithm>

namespace lotusyard {
namespace {

using core::Millis;

// From the deployment page. A deadline counts from SIGTERM here.
constexpr Millis kSigkillDelay{700};            // SIGKILL comes this long after the longest deadline
constexpr Millis kMaxDeadline{3000};            // a longer deadline counts as this
constexpr Millis kCallArrivalDuration{600};     // clients still send calls after SIGTERM
constexpr Millis kConnectArrivalDuration{400};  // clients still connect after SIGTERM

// Margins for a busy machine, on which clients and this process are late.
constexpr Millis kCallsMargin{200};
constexpr Millis kConnectsMargin{100};
constexpr Millis kAnswerMargin{100};
constexpr Millis kAdmitMargin{300};

constexpr Millis kServeDuration = kCallArrivalDuration + kCallsMargin;
constexpr Millis kListenDuration = kConnectArrivalDuration + kConnectsMargin;

// A call that is still open this long after the longest deadline arrived just before its connection was
// closed. If it were open when the process exits, it would be lost.
constexpr Millis kAnswerDelay = kSigkillDelay - kAnswerMargin;
// Time to write these answers; the rest of the margin is left for the exit.
constexpr Millis kWriteTimeout{60};
static_assert(kWriteTimeout < kAnswerMargin, "the process exits before SIGKILL");

// A call that is admitted by then reaches its deadline before SIGKILL.
constexpr Millis kAdmitDuration = kSigkillDelay - kAdmitMargin;

}  // namespace

std::vector<ShutdownCommand> GracefulShutdown::begin(Millis now, bool other_process_alive) {
  began_at_ = now;
  state_ = State::waiting;
  std::vector<ShutdownCommand> commands;
  if (ownership_ == ListenerOwnership::shared) {
    commands.push_back(ShutdownCommand::stop_listening);
    if (other_process_alive)
      commands.push_back(ShutdownCommand::enter_draining_role);
  } else {
    commands.push_back(ShutdownCommand::report_not_serving);
  }
  commands.push_back(ShutdownCommand::drain_triggers);
  commands.push_back(ShutdownCommand::drain_extension);
  return commands;
}

void GracefulShutdown::begin_iteration(Millis iteration_started, Millis longest_deadline) {
  elapsed_ = iteration_started - began_at_;
  answer_deadline_ = std::min(longest_deadline, kMaxDeadline) + kAnswerDelay;
  all_answered_ = false;
  state_ = State::checking_answer_deadline;
}

ShutdownCommand GracefulShutdown::next(const ShutdownFacts& facts) {
  while (true) {
    if (const auto command = advance(facts))
      return *command;
  }
}

std::optional<ShutdownCommand> GracefulShutdown::advance(const ShutdownFacts& facts) {
  switch (state_) {
    case State::checking_answer_deadline:
      return check_answer_deadline();
    case State::limiting_arrivals:
      return limit_arrivals(facts);
    case State::handing_off:
      return hand_off();
    case State::checking_idle:
      return check_idle(facts);
    case State::reading_last_input:
      return read_last_input();
    case State::confirming_idle:
      return confirm_idle(facts);
    case State::exited:
      return ShutdownCommand::exit;
    case State::running:
    case State::waiting:
      break;
  }
  return ShutdownCommand::wait;
}

std::optional<ShutdownCommand> GracefulShutdown::check_answer_deadline() {
  state_ = State::limiting_arrivals;
  if (elapsed_ <= answer_deadline_)
    return std::nullopt;
  return ShutdownCommand::answer_open_calls;
}

std::optional<ShutdownCommand> GracefulShutdown::limit_arrivals(const ShutdownFacts& facts) {
  all_answered_ = !facts.calls_open && !facts.answers_undelivered;
  if (ownership_ == ListenerOwnership::shared) {
    state_ = State::handing_off;
    // Otherwise a connection that always has a call open would have one at SIGKILL, too, and lose it.
    if (elapsed_ > kAdmitDuration)
      return ShutdownCommand::stop_admitting;
    return std::nullopt;
  }
  state_ = State::checking_idle;
  if (elapsed_ > kListenDuration)
    return ShutdownCommand::stop_listening;
  return std::nullopt;
}

ShutdownCommand GracefulShutdown::hand_off() {
  state_ = State::checking_idle;
  return ShutdownCommand::hand_off_connections;
}

ShutdownCommand GracefulShutdown::check_idle(const ShutdownFacts& facts) {
  if (elapsed_ > answer_deadline_ + kWriteTimeout)
    return finish(ShutdownCommand::exit);
  if (!clients_idle(facts) || facts.triggers_pending || facts.admin_requests_pending)
    return finish(ShutdownCommand::wait);
  // What clients have sent by now is read and rejected before the exit: a rejected call may be sent again
  // elsewhere, a lost one may not.
  state_ = State::reading_last_input;
  return ShutdownCommand::answer_open_calls;
}

bool GracefulShutdown::clients_idle(const ShutdownFacts& facts) const {
  if (!all_answered_)
    return false;
  if (ownership_ == ListenerOwnership::shared)
    return !facts.connections_open;
  return elapsed_ > kServeDuration;
}

ShutdownCommand GracefulShutdown::read_last_input() {
  state_ = State::confirming_idle;
  return ShutdownCommand::read_client_input;
}

ShutdownCommand GracefulShutdown::confirm_idle(const ShutdownFacts& facts) {
  const bool idle = !facts.client_input_found && !facts.answers_undelivered;
  return finish(idle ? ShutdownCommand::exit : ShutdownCommand::wait);
}

ShutdownCommand GracefulShutdown::finish(ShutdownCommand command) {
  state_ = command == ShutdownCommand::exit ? State::exited : State::waiting;
  return command;
}

}  // namespace lotusyard
