// The steps of the log and of the group, and the checks of what the node reports.
#include "control/node_scenario.h"

#include <stdexcept>

namespace lotusyard::test {

NodeScenario::NodeScenario(ScenarioCounts& counts)
    : counts_(counts), node_(config(), transport_, counters_, Millis(0)) {
  transport_.room = 3;
  states_[kFirstIndex] = {{"k", "begin"}};
  node_.reset(kFirstIndex, states_[kFirstIndex]);
  for (const double clock_rate : kRates) {
    Process process = new_process(clock_rate);
    process.position = kEarlyPosition;
    process.lease_until = Millis(kScenarioTerms.lease * clock_rate);  // from an earlier process of the node
    processes_.push_back(process);
  }
}

std::string NodeScenario::run(const std::vector<int>& steps) {
  for (const int step : steps) {
    apply_step(step);
    check_reports();
    if (!violation_.empty())
      return violation_;
  }
  finish();
  return violation_;
}

ControlNode::Config NodeScenario::config() {
  ControlNode::Config out;
  out.cluster = "c";
  out.self.name = "n";
  out.terms = kScenarioTerms;
  out.changes.changes = 6;
  out.snapshot_chunk = 12;
  return out;
}

Process NodeScenario::new_process(double clock_rate) {
  Process out;
  out.incarnation = ++last_incarnation_;
  out.name = std::string(1, static_cast<char>('a' + out.incarnation % 3));
  out.clock_rate = clock_rate;
  return out;
}

void NodeScenario::report_violation(const std::string& what) {
  if (violation_.empty())
    violation_ = what;
}

void NodeScenario::apply_step(int step) {
  const int argument = step / kStepKinds;
  Process& process = processes_[static_cast<std::size_t>(argument) % processes_.size()];
  switch (step_of(step)) {
    case Step::wait:
      now_ += Millis(1 + argument % 900);
      break;
    case Step::wait_long:
      now_ += Millis(1 + argument % 4000);
      break;
    case Step::change:
      change(argument);
      break;
    case Step::reset:
      reset(argument);
      break;
    case Step::heartbeat:
      send_heartbeat();
      break;
    case Step::report:
      record_floors();
      break;
    case Step::tick:
      node_.tick(now_);
      break;
    default:
      apply_step_of(process, step);
      break;
  }
}

void NodeScenario::apply_step_of(Process& process, int step) {
  const int argument = step / kStepKinds;
  switch (step_of(step)) {
    case Step::open:
      return open(process);
    case Step::renew:
      return renew(process);
    case Step::deliver:
      return deliver(process, 1 + argument % 7);
    case Step::disconnect:
      return disconnect(process);
    case Step::close:
      return close(process);
    case Step::restart:
      return restart(process);
    case Step::call:
      return call(process);
    case Step::resume:
      return resume(process);
    default:
      throw std::logic_error("a step of no process");
  }
}

void NodeScenario::change(int argument) {
  const Index index = node_.changes().applied() + 1 + static_cast<Index>(argument % 2);
  Change change;
  if (argument % 5 != 0)
    change = {{"k" + std::to_string(argument % 3), std::to_string(index)}};
  if (!change.empty())
    changes_.push_back(index);
  node_.apply(index, change);
  Records records = states_.rbegin()->second;
  control::apply(records, change);
  states_[index] = std::move(records);
}

void NodeScenario::reset(int argument) {
  if (argument % 4 != 0)
    return;
  const Index index = node_.changes().applied() + 3;
  changes_.push_back(index);
  states_[index] = {{"k", std::to_string(index)}};
  node_.reset(index, states_[index]);
}

bool NodeScenario::misses_change(Index position, Index up_to) const {
  const auto next = std::upper_bound(changes_.begin(), changes_.end(), position);
  return next != changes_.end() && *next <= up_to;
}

void NodeScenario::send_heartbeat() {
  if (now_ >= node_until_)
    group_reached_ = node_.changes().applied();
  node_until_ = now_ + kScenarioTerms.lease;
  node_.set_lease(node_until_);
}

void NodeScenario::record_floors() {
  const Floors floors = node_.floors(now_);
  if (floors.quiesced_index > floors.applied)
    report_violation("more is quiesced than applied");
  if (floors.applied > node_.changes().applied())
    report_violation("a report ahead of the log");
  if (floors.applied > 0)
    ++counts_.floors;
  reported_applied_ = std::max(reported_applied_, floors.applied);
  reported_quiesced_ = std::max(reported_quiesced_, floors.quiesced_index);
}

void NodeScenario::check_reports() {
  for (const Process& process : processes_) {
    const bool holds_lease = process.holds_lease(now_);
    if (holds_lease && misses_change(process.position, reported_applied_))
      report_violation("a lease behind what was reported applied");
    if (holds_lease && process.granted && misses_change(process.position, group_reached_))
      report_violation("a lease behind what the group reached without this node");
    for (const Call& one : process.calls) {
      if (now_ < one.until && misses_change(one.position, reported_quiesced_))
        report_violation("a call that was reported quiesced is in flight");
    }
  }
}

void NodeScenario::finish() {
  send_heartbeat();
  for (Process& process : processes_) {
    if (process.connection == 0)
      continue;
    for (int i = 0; i < 1000 && !transport_.waiting[process.connection].empty(); ++i)
      deliver(process, 1);
    if (misses_change(process.position, node_.changes().applied()))
      report_violation("a replica that does not catch up");
    const Millis before = process.lease_until;
    now_ += Millis(1);
    renew(process);
    deliver(process, 1);
    if (process.lease_until <= before && before < now_)
      report_violation("a session without a lease");
  }
  check_reports();
  const auto faults = counters_.value("control.malformed") + counters_.value("control.future_position");
  if (faults > 0)
    report_violation("a valid message was treated as malformed");
}

}  // namespace lotusyard::test
