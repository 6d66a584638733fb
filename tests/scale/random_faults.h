// Injects faults of all kinds at random times into a hollow fleet.
#pragma once

#include "scale/hollow_fleet.h"

namespace lotusyard::test {

class RandomFaults {
 public:
  explicit RandomFaults(HollowFleet& fleet) : fleet_(fleet) {}
  // Starts a fault about every `pause` milliseconds until `until`.
  void start(double until, double pause);

 private:
  HollowFleet& fleet_;
  int last_cut_ = 0;

  void inject_fault();
  void kill_node(bool resets);
  void restart_all_nodes();
  void drain_node();
  void stop_node();
  void stop_invokers();
  void kill_invokers();
  void close_invokers();
  void cut_zone();
  void cut_region();
  void cut_node_from_log();
  void cut_invokers_from_nodes();
  void delay_some();
  void burst();
  void cut_for(Cut cut, double span);
  void choose_directions(Cut& cut);
  std::size_t random_node() { return fleet_.random_below(fleet_.nodes().size()); }
  template <typename Fault>
  void for_some_invokers(double share, const Fault& fault);
};

}  // namespace lotusyard::test
