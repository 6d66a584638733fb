// Carries out the graceful shutdown that GracefulShutdown decides on.
#include <algorithm>

#include "app/invoker.h"

namespace lotusyard {

core::Millis Invoker::next_wake_up() const {
  const core::Millis deadline = dispatcher_.next_deadline();
  if (!shutdown_.has_begun())
    return deadline;
  return std::min(deadline, loop_.now() + GracefulShutdown::kMaxWait);
}

void Invoker::begin_shutdown() {
  ShutdownFacts facts;
  const bool other_process_alive = role_ != hot_restart::ProcessRole::sole;
  for (const ShutdownCommand command : shutdown_.begin(loop_.now(), other_process_alive))
    execute(command, facts);
}

bool Invoker::run_shutdown_iteration() {
  shutdown_.begin_iteration(loop_.iteration_started(), core::longest_deadline(config().settings));
  ShutdownFacts facts;
  while (true) {
    observe(facts);
    const ShutdownCommand command = shutdown_.next(facts);
    if (command == ShutdownCommand::wait || command == ShutdownCommand::exit)
      return command == ShutdownCommand::exit;
    execute(command, facts);
  }
}

void Invoker::observe(ShutdownFacts& facts) const {
  facts.calls_open = front_.open_calls() > 0;
  facts.answers_undelivered = !front_.all_delivered();
  facts.triggers_pending = triggers_ && !triggers_->done();
  facts.admin_requests_pending = admin_endpoint_ && !admin_endpoint_->quiet();
}

void Invoker::execute(ShutdownCommand command, ShutdownFacts& facts) {
  switch (command) {
    case ShutdownCommand::report_not_serving:
      return front_.drain();
    case ShutdownCommand::stop_listening:
      return front_.stop_listening();
    case ShutdownCommand::enter_draining_role:
      return set_role(hot_restart::ProcessRole::draining);
    case ShutdownCommand::drain_triggers:
      if (triggers_)
        triggers_->drain();
      return;
    case ShutdownCommand::drain_extension:
      if (extension_)
        extension_->drain();
      return;
    case ShutdownCommand::stop_admitting:
      return front_.stop_admitting();
    case ShutdownCommand::answer_open_calls:
      return front_.answer_open_calls();
    case ShutdownCommand::hand_off_connections:
      facts.connections_open = !front_.hand_off_connections();
      return;
    case ShutdownCommand::read_client_input:
      facts.client_input_found = front_.drain_sockets();
      return;
    case ShutdownCommand::wait:
    case ShutdownCommand::exit:
      return;
  }
}

}  // namespace lotusyard
