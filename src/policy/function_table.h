// Functions: what is known of each, which instances hosts have, and the loads in progress.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Owns all functions, in the order in which they were first called; their addresses stay valid until they
// are pruned. Times are in milliseconds.
class FunctionTable {
 public:
  FunctionTable(const Context& context, ClassTable& classes) : context_(context), classes_(classes) {}

  // All functions, by order of first call: decisions must not depend on ids.
  const std::vector<std::unique_ptr<Function>>& all() const { return functions_; }
  // The function, or null.
  Function* find(std::uint64_t id) const;
  // Notes a call; the function is added if it is new.
  Function& record_arrival(const event::Request& request, int class_index);
  // Drops functions that hold nothing and were not called for long.
  void prune();

  // Usual run time of a call: the function's, else its class's.
  double run_time(const Function& function) const;
  // Usual load time of an instance: measured, else as requests state, else that of all functions.
  double load_time(const Function& function) const;
  // Run time on an idle host: the function's, once it is sampled enough, else its class's.
  double baseline(const Function& function) const;
  // Usual run time over all functions.
  double any_run_time() const { return any_run_time_.value; }
  // This router's calls of the function in service at once.
  double demand(const Function& function) const;

  // Notes the run time of a call that met a warm instance, for its function and its class.
  void record_run(Function& function, int class_index, double run_time);
  void record_load(Function& function, double load_time);

  // Notes an order that was sent now; an order that is in progress already stays one.
  void begin_load(InstanceSet& instances);
  void end_load(InstanceSet& instances);
  int loads_in_progress() const { return loads_in_progress_; }
  // Forgets all instances on a host, and loads there.
  void forget_instances(int host);

 private:
  const Context& context_;
  ClassTable& classes_;
  std::vector<std::unique_ptr<Function>> functions_;
  std::unordered_map<std::uint64_t, Function*> index_;
  MovingAverage any_run_time_;
  MovingAverage any_load_time_;
  int loads_in_progress_ = 0;  // sum of InstanceSet::loading
};

}  // namespace lotusyard::policy
