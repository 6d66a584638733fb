// Made-up courses of a control node and its invokers. The model knows every change, lease and call as they
// are, and sees whether what the node reported was ever untrue.
#pragma once

#include "control/scenario_process.h"
#include "control/scenario_step.h"

namespace lotusyard::test {

constexpr Index kBegin = 10;  // where the node's log begins; 8 and 10 were changes
inline const std::vector<double> kRates{1 + kCourseDrift, 1, 1 / (1 + kCourseDrift)};

class Course {
 public:
  explicit Course(CourseCounts& counts) : counts_(counts), node_(config(), transport_, counters_, Millis(0)) {
    transport_.room = 3;
    states_[kBegin] = {{"k", "begin"}};
    node_.reset(kBegin, states_[kBegin]);
    for (const double rate : kRates) {
      Process process = new_process(rate);
      process.position = kEarlyPosition;
      process.lease_until = Millis(kCourseTerms.lease * rate);  // from an earlier process of the node
      processes_.push_back(process);
    }
  }

  std::string run(const std::vector<int>& steps) {
    for (const int step : steps) {
      take_step(step);
      check_promises();
      if (!wrong_.empty())
        return wrong_;
    }
    finish();
    return wrong_;
  }

 private:
  CourseCounts& counts_;
  NodeTransport transport_;
  metrics::Counters counters_;
  ControlNode node_;
  Millis now_{0}, node_until_{0};
  std::vector<Process> processes_;
  std::vector<Index> changes_{8, kBegin};
  std::map<Index, Records> states_;
  Index promised_applied_ = 0, promised_settled_ = 0;  // the most that was reported
  Index group_went_to_ = 0;                            // while this node had no lease
  NodeTransport::LinkId last_link_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::string wrong_;

  static ControlNode::Config config() {
    ControlNode::Config out;
    out.cluster = "c";
    out.self.name = "n";
    out.terms = kCourseTerms;
    out.changes.changes = 6;
    out.snapshot_chunk = 12;
    return out;
  }
  Process new_process(double rate) {
    Process out;
    out.incarnation = ++last_incarnation_;
    out.name = std::string(1, static_cast<char>('a' + out.incarnation % 3));
    out.rate = rate;
    return out;
  }
  void found(const std::string& what) {
    if (wrong_.empty())
      wrong_ = what;
  }

  void take_step(int step) {
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
      case Step::open:
        open(process);
        break;
      case Step::renew:
        renew(process);
        break;
      case Step::deliver:
        deliver(process, 1 + argument % 7);
        break;
      case Step::disconnect:
        disconnect(process);
        break;
      case Step::close:
        close(process);
        break;
      case Step::restart:
        restart(process);
        break;
      case Step::beat:
        beat();
        break;
      case Step::report:
        take_floors();
        break;
      case Step::tick:
        node_.tick(now_);
        break;
      case Step::call:
        call(process);
        break;
      case Step::resume:
        resume(process);
        break;
    }
  }

  // The log.
  void change(int argument) {
    const Index index = node_.changes().applied() + 1 + static_cast<Index>(argument % 2);
    Change change;
    if (argument % 5 != 0)
      change = {{"k" + std::to_string(argument % 3), std::to_string(index)}};
    if (!change.empty())
      changes_.push_back(index);
    node_.applied(index, change);
    Records records = states_.rbegin()->second;
    control::apply(records, change);
    states_[index] = std::move(records);
  }
  void reset(int argument) {
    if (argument % 4 != 0)
      return;
    const Index index = node_.changes().applied() + 3;
    changes_.push_back(index);
    states_[index] = {{"k", std::to_string(index)}};
    node_.reset(index, states_[index]);
  }
  bool misses_change(Index position, Index up_to) const {
    const auto next = std::upper_bound(changes_.begin(), changes_.end(), position);
    return next != changes_.end() && *next <= up_to;
  }

  // The group. While the node has no lease it may go on without it.
  void beat() {
    if (now_ >= node_until_)
      group_went_to_ = node_.changes().applied();
    node_until_ = now_ + kCourseTerms.lease;
    node_.set_lease(node_until_);
  }
  void take_floors() {
    const Floors floors = node_.floors(now_);
    if (floors.settled > floors.applied)
      found("more is settled than applied");
    if (floors.applied > node_.changes().applied())
      found("a report of what has not come");
    if (floors.applied > 0)
      ++counts_.floors;
    promised_applied_ = std::max(promised_applied_, floors.applied);
    promised_settled_ = std::max(promised_settled_, floors.settled);
  }
  void check_promises() {
    for (const Process& process : processes_) {
      const bool holds = process.holds(now_);
      if (holds && misses_change(process.position, promised_applied_))
        found("a lease behind what was reported applied");
      if (holds && process.granted && misses_change(process.position, group_went_to_))
        found("a lease behind what the group went on to without this node");
      for (const Call& one : process.calls) {
        if (now_ < one.until && misses_change(one.position, promised_settled_))
          found("a call that was reported settled is under way");
      }
    }
  }

  // The invokers.
  void open(Process& process) {
    const auto older = process.link;
    transport_.waiting.erase(older);
    process.link = ++last_link_;
    process.welcomed = false;
    process.sequence = 0;
    process.renewals.clear();
    process.pieces.clear();
    node_.opened(process.link);
    Open open;
    open.cluster = "c";
    open.invoker = process.name;
    open.incarnation = process.incarnation;
    open.position = process.position;
    open.terms = kCourseTerms;
    node_.received(process.link, open, now_);
    if (older != 0 && !transport_.ended(older))
      found("two links of one incarnation");
  }
  void renew(Process& process) {
    if (!process.welcomed)
      return;
    process.renewals[++process.sequence] = {now_, node_until_};
    node_.received(process.link, Renew{process.sequence, process.position, process.settled(now_)}, now_);
  }
  void resume(Process& process) {
    if (process.welcomed)
      node_.received(process.link, Resume{process.position}, now_);
  }
  void disconnect(Process& process) {
    if (process.link == 0)
      return;
    node_.ended(process.link);
    process.link = 0;
    process.welcomed = false;
  }
  void close(Process& process) {
    if (!process.welcomed)
      return;
    process.lease_until = std::min(process.lease_until, now_);
    node_.received(process.link, Close{}, now_);
    process.link = 0;
    process.welcomed = false;
  }
  // Another process of the same invoker; the old one has only lost its connection.
  void restart(Process& process) {
    if (processes_.size() > 12)
      return;
    disconnect(process);
    Process next = new_process(process.rate);
    next.name = process.name;
    processes_.push_back(next);
  }
  void call(Process& process) {
    if (process.holds(now_))
      process.calls.push_back({process.position, now_ + kCourseTerms.max_attempt_time * process.rate});
  }
  void deliver(Process& process, int count) {
    for (; count > 0 && process.link != 0 && !transport_.waiting[process.link].empty(); --count) {
      auto& queue = transport_.waiting[process.link];
      const Message message = std::move(queue.front());
      queue.pop_front();
      take(process, message);
    }
    if (process.link != 0)
      node_.writable(process.link);
  }
  void take(Process& process, const Message& message) {
    const Index before = process.position;
    const std::string fault = process.take(message, counts_);
    if (!fault.empty())
      found(fault);
    if (process.position != before && process.records != states_.at(process.position))
      found("the replica differs from the log");
  }

  // All that are connected catch up, and then get a lease.
  void finish() {
    beat();
    for (Process& process : processes_) {
      if (process.link == 0)
        continue;
      for (int i = 0; i < 1000 && !transport_.waiting[process.link].empty(); ++i)
        deliver(process, 1);
      if (misses_change(process.position, node_.changes().applied()))
        found("a replica that never catches up");
      const Millis before = process.lease_until;
      now_ += Millis(1);
      renew(process);
      deliver(process, 1);
      if (process.lease_until <= before && before < now_)
        found("a session without a lease");
    }
    check_promises();
    const auto faults = counters_.value("control.malformed") + counters_.value("control.future_position");
    if (faults > 0)
      found("a sound message was taken for a faulty one");
  }
};

}  // namespace lotusyard::test
