// A simulated fleet of hollow invokers and control nodes on a virtual clock: an agreed log that the nodes
// apply, connections that carry encoded frames, and faults. Deterministic for a given seed.
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
  std::size_t change_bytes = 120;  // approximate size of an encoded change
  bool keeps_states = true;
  double start_spread = 5000;  // invokers start at random times within it, milliseconds
};

// Receives the events of a fleet; `now` is true time.
class FleetObserver {
 public:
  virtual ~FleetObserver() = default;
  // The replica's position changed.
  virtual void on_move(const HollowInvoker&, Index /*from*/, const HollowInvoker::Move&, double /*now*/) {}
  // The lease was extended; `before` is its previous end by the invoker's clock.
  virtual void on_lease(const HollowInvoker&, Millis /*before*/, double /*now*/) {}
  virtual void on_session_opened(const HollowInvoker&, double /*now*/) {}
  virtual void on_proof(const Proof&, double /*now*/) {}
};

class HollowFleet {
 public:
  explicit HollowFleet(const FleetOptions& options);

  const FleetOptions& options() const { return options_; }
  double now() const { return queue_.now(); }
  void at(double when, EventQueue::Action action) { queue_.at(when, std::move(action)); }
  void run(double span) { queue_.run_until(now() + span); }
  void observe(FleetObserver& observer) { observers_.push_back(&observer); }
  void remove_observer(FleetObserver& observer) {
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
  std::size_t random_below(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }

  void change();                                        // appends one random change to the log
  void changes_each_second(double rate, double until);  // at random times (Poisson)

  // Faults; see also `network()`.
  void start_node(std::size_t number);
  void kill_node(std::size_t number, bool resets = true);  // without resets: its machine fails as well
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
  const LogEntry& append_entry(control::Change change, std::vector<NodeReport> reports);
  void run_leader();  // appends pending reports to the log and computes the proof

  // Nodes.
  template <typename Call>
  void call_node(HollowNode& node, const Call& call);
  void dispatch(HollowNode& node);
  void send_heartbeat(HollowNode& node);
  void send_heartbeats_periodically(std::size_t number, std::uint64_t incarnation);
  void tick_periodically(std::size_t number, std::uint64_t incarnation);
  void apply_until(HollowNode& node, Index until);
  void apply_entry(HollowNode& node, const LogEntry& entry);
  void handle_at_node(HollowNode& node, std::uint64_t connection, const Packet& packet);
  void arrived_at_node(HollowConnection& connection, Packet&& packet);
  void became_writable(std::size_t number, std::uint64_t connection);

  // Invokers.
  template <typename Call>
  void call_invoker(HollowInvoker& invoker, const Call& call);
  void dispatch(HollowInvoker& invoker);
  void connect(HollowInvoker& invoker, const std::string& address);
  void notify_moves(HollowInvoker& invoker);
  void notify_session_changes(HollowInvoker& invoker);
  void track_calls(HollowInvoker& invoker, Index before);
  void add_abandoned_calls(HollowInvoker& invoker, double lease_end);
  void schedule_tick(HollowInvoker& invoker);
  void tick(std::size_t number);
  void handle_at_invoker(HollowInvoker& invoker, std::uint64_t connection, const Packet& packet);
  void arrived_at_invoker(HollowConnection& connection, Packet&& packet);
};

}  // namespace lotusyard::test
