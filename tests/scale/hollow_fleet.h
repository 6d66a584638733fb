// A whole fleet of hollow invokers and control nodes on a virtual clock: an agreed log that the nodes follow,
// connections that carry encoded frames, and faults. Deterministic by its seed.
#pragma once

#include <set>

#include "scale/agreed_log.h"
#include "scale/hollow_network.h"
#include "scale/hollow_processes.h"
#include "scale/leader_stand_in.h"

namespace lotusyard::test {

struct FleetOptions {
  std::uint64_t seed = 1;
  std::size_t invokers = 300, nodes = 5;
  int zones = 3, regions = 2;
  raft::LeaseTerms terms;
  control::Session::Pacing pacing;
  control::SessionTable::Limits sessions;
  control::ChangeLog::Limits changes;
  HollowNetwork::Capacity capacity;
  std::size_t records = 40, value_bytes = 50;
  std::size_t change_bytes = 120;  // about so long is an encoded change
  bool keeps_states = true;
  double start_over = 5000;  // the invokers start within so long, milliseconds
};

// Told what happens, with true time.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;
  virtual void moved(const HollowInvoker&, Index /*from*/, const HollowInvoker::Move&, double /*now*/) {}
  // `before`: the end of the lease until now, by the invoker's clock.
  virtual void leased(const HollowInvoker&, Millis /*before*/, double /*now*/) {}
  virtual void opened(const HollowInvoker&, double /*now*/) {}
  virtual void proved(const Proof&, double /*now*/) {}
};

class HollowFleet {
 public:
  explicit HollowFleet(const FleetOptions& options);

  const FleetOptions& options() const { return options_; }
  double now() const { return queue_.now(); }
  void at(double when, EventQueue::Action action) { queue_.at(when, std::move(action)); }
  void run(double span) { queue_.run_until(now() + span); }
  void observe(FleetObserver& observer) { observers_.push_back(&observer); }
  void forget(FleetObserver& observer) {
    observers_.erase(std::remove(observers_.begin(), observers_.end(), &observer), observers_.end());
  }
  const AgreedLog& log() const { return log_; }
  HollowNetwork& network() { return network_; }
  std::vector<std::unique_ptr<HollowNode>>& nodes() { return nodes_; }
  std::vector<std::unique_ptr<HollowInvoker>>& invokers() { return invokers_; }
  const std::vector<std::unique_ptr<HollowInvoker>>& invokers() const { return invokers_; }
  double uniform(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }

  void change();                                        // one more change is agreed upon
  void changes_each_second(double rate, double until);  // at random moments

  // Faults; see also `network()`.
  void start_node(std::size_t number);
  void kill_node(std::size_t number, bool resets = true);  // without resets: its machine is gone
  void drain_node(std::size_t number);
  void stop_node(std::size_t number, double span);
  void start_invoker(std::size_t number);
  void kill_invoker(std::size_t number);
  void close_invoker(std::size_t number);
  void stop_invoker(std::size_t number, double span);
  void cut(int name, Cut what) { network_.cut(name, std::move(what)); }
  void heal(int name);

 private:
  FleetOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  HollowNetwork network_;
  AgreedLog log_;
  LeaderStandIn leader_;
  DriftingClock leader_clock_;
  Endpoint log_site_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::vector<std::unique_ptr<HollowInvoker>> invokers_;
  std::map<std::string, std::size_t> node_by_address_;
  std::vector<FleetObserver*> observers_;

  DriftingClock draw_clock();
  void add_node(std::size_t number);
  void add_invoker(std::size_t number);
  const LogEntry& agree(control::Change change, std::vector<NodeReport> reports);
  void lead();  // what was reported goes into the log, and a conclusion is drawn

  // Nodes.
  template <typename Call>
  void call_node(HollowNode& node, const Call& call);
  void dispatch(HollowNode& node);
  void send_heartbeat(HollowNode& node);
  void send_heartbeats_periodically(std::size_t number, std::uint64_t incarnation);
  void tick_periodically(std::size_t number, std::uint64_t incarnation);
  void follow(HollowNode& node, Index until);
  void apply_entry(HollowNode& node, const LogEntry& entry);
  void handle_at_node(HollowNode& node, std::uint64_t connection, const Packet& packet);
  void arrived_at_node(HollowConnection& connection, Packet&& packet);
  void became_writable(std::size_t number, std::uint64_t connection);

  // Invokers.
  template <typename Call>
  void call_invoker(HollowInvoker& invoker, const Call& call);
  void dispatch(HollowInvoker& invoker);
  void connect(HollowInvoker& invoker, const std::string& address);
  void note_moves(HollowInvoker& invoker);
  void note_session(HollowInvoker& invoker);
  void count_calls(HollowInvoker& invoker, Index before);
  void leave_calls(HollowInvoker& invoker, double lease_end);
  void schedule_tick(HollowInvoker& invoker);
  void tick(std::size_t number);
  void handle_at_invoker(HollowInvoker& invoker, std::uint64_t connection, const Packet& packet);
  void arrived_at_invoker(HollowConnection& connection, Packet&& packet);
};

}  // namespace lotusyard::test
