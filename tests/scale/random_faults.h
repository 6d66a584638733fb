// Faults of all kinds at random moments, for a hollow fleet that is checked meanwhile.
#pragma once

#include "scale/hollow_fleet.h"

namespace lotusyard::test {

class RandomFaults {
 public:
  explicit RandomFaults(HollowFleet& fleet) : fleet_(fleet) {}
  // Between now and `until` one fault begins every `pause` milliseconds, about.
  void begin(double until, double pause);

 private:
  HollowFleet& fleet_;
  int last_cut_ = 0;

  void strike();
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
  void both_or_one_way(Cut& cut);
  std::size_t some_node() { return fleet_.below(fleet_.nodes().size()); }
  template <typename Fault>
  void some_invokers(double share, const Fault& fault);
};

}  // namespace lotusyard::test
