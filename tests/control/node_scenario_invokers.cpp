// The steps of the invokers of a scenario, and how their processes handle what the node sends.
#include "control/node_scenario.h"

namespace lotusyard::test {

void NodeScenario::open(Process& process) {
  const auto older = process.connection;
  transport_.waiting.erase(older);
  process.connection = ++last_connection_;
  process.is_open = false;
  process.sequence = 0;
  process.renewals.clear();
  process.chunks.clear();
  node_.on_connected(process.connection);
  Open open;
  open.cluster = "c";
  open.invoker = process.name;
  open.incarnation = process.incarnation;
  open.position = process.position;
  open.terms = kScenarioTerms;
  node_.on_message(process.connection, open, now_);
  if (older != 0 && !transport_.ended(older))
    report_violation("two connections of one incarnation");
}

void NodeScenario::renew(Process& process) {
  if (!process.is_open)
    return;
  process.renewals[++process.sequence] = {now_, node_until_};
  node_.on_message(process.connection,
                   Renew{process.sequence, process.position, process.quiesced_index(now_)}, now_);
}

void NodeScenario::resume(Process& process) {
  if (process.is_open)
    node_.on_message(process.connection, Resume{process.position}, now_);
}

void NodeScenario::disconnect(Process& process) {
  if (process.connection == 0)
    return;
  node_.on_disconnected(process.connection);
  process.connection = 0;
  process.is_open = false;
}

void NodeScenario::close(Process& process) {
  if (!process.is_open)
    return;
  process.lease_until = std::min(process.lease_until, now_);
  node_.on_message(process.connection, Close{}, now_);
  process.connection = 0;
  process.is_open = false;
}

void NodeScenario::restart(Process& process) {
  if (processes_.size() > 12)
    return;
  disconnect(process);
  Process next = new_process(process.clock_rate);
  next.name = process.name;
  processes_.push_back(next);
}

void NodeScenario::call(Process& process) {
  if (process.holds_lease(now_))
    process.calls.push_back({process.position, now_ + kScenarioTerms.max_attempt_time * process.clock_rate});
}

void NodeScenario::deliver(Process& process, int count) {
  for (; count > 0 && process.connection != 0 && !transport_.waiting[process.connection].empty(); --count) {
    auto& queue = transport_.waiting[process.connection];
    const Message message = std::move(queue.front());
    queue.pop_front();
    handle(process, message);
  }
  if (process.connection != 0)
    node_.on_writable(process.connection);
}

void NodeScenario::handle(Process& process, const Message& message) {
  const Index before = process.position;
  const std::string fault = process.handle(message, counts_);
  if (!fault.empty())
    report_violation(fault);
  if (process.position != before && process.records != states_.at(process.position))
    report_violation("the replica differs from the log");
}

}  // namespace lotusyard::test
