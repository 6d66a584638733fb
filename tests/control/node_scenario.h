// Random scenarios of a control node and its invokers. The model has a record of every change, lease and
// call, and checks each report of the node against it.
#pragma once

#include "control/scenario_process.h"
#include "control/scenario_step.h"

namespace lotusyard::test {

constexpr Index kFirstIndex = 10;  // of the node's log; 8 and 10 were changes
inline const std::vector<double> kRates{1 + kScenarioDrift, 1, 1 / (1 + kScenarioDrift)};

class NodeScenario {
 public:
  explicit NodeScenario(ScenarioCounts& counts);

  // Returns the first violation, or an empty string if there was none.
  std::string run(const std::vector<int>& steps);

 private:
  ScenarioCounts& counts_;
  NodeTransport transport_;
  metrics::Counters counters_;
  ControlNode node_;
  Millis now_{0}, node_until_{0};
  std::vector<Process> processes_;
  std::vector<Index> changes_{8, kFirstIndex};
  std::map<Index, Records> states_;
  Index reported_applied_ = 0, reported_quiesced_ = 0;  // the highest that were reported
  Index group_reached_ = 0;                             // while this node had no lease
  NodeTransport::ConnectionId last_connection_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::string violation_;  // the first

  static ControlNode::Config config();
  Process new_process(double clock_rate);
  void report_violation(const std::string& what);

  void apply_step(int step);
  void apply_step_of(Process& process, int step);

  // The log.
  void change(int argument);
  void reset(int argument);
  bool misses_change(Index position, Index up_to) const;

  // The group, which may continue without the node while the node has no lease.
  void send_heartbeat();
  void record_floors();
  void check_reports();

  // The invokers.
  void open(Process& process);
  void renew(Process& process);
  void resume(Process& process);
  void disconnect(Process& process);
  void close(Process& process);
  // Starts another process of the same invoker; the old one only loses its connection.
  void restart(Process& process);
  void call(Process& process);
  void deliver(Process& process, int count);
  void handle(Process& process, const Message& message);

  // All connected processes must catch up and then get a lease.
  void finish();
};

}  // namespace lotusyard::test
