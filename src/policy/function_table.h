// Functions: the statistics of each, its instances on hosts, and the loads in progress.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "policy/class_table.h"
#include "policy/context.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Owns all functions, in the order in which they were first called; addresses stay valid until prune(), and
// for as long as the function is in use. Bounded by kMaxUnconfirmedFunctions, and by
// Settings::function_table_bytes. Times are in milliseconds.
class FunctionTable {
 public:
  FunctionTable(const Context& context, ClassTable& classes) : context_(context), classes_(classes) {}

  // All functions, in the order of their first calls: decisions must not depend on ids.
  const std::vector<std::unique_ptr<Function>>& all() const { return functions_; }
  // The function, or null.
  Function* find(std::uint64_t id) const;
  // Records a call, and adds the function if it is new.
  Function& record_arrival(const event::Request& request, int class_index);
  // Removes functions that are not in use, have no instance and were not called for a while. If the table is
  // still too large, it evicts functions that are not in use, whatever is known of their instances: first
  // those that no host has confirmed, then those that were not called for longest.
  void prune();
  FunctionTableSize size() const { return {functions_.size(), bytes_, evicted_}; }

  // Usual run time of a call: the function's, else its class's.
  double run_time(const Function& function) const;
  // Usual load time of an instance: measured, else the hint of requests, else that of all functions.
  double load_time(const Function& function) const;
  // Run time on an idle host: the function's, once it has enough samples, else its class's.
  double baseline(const Function& function) const;
  // Usual run time over all functions.
  double any_run_time() const { return any_run_time_.value; }
  // The number of this invoker's concurrent calls of the function.
  double demand(const Function& function) const;

  // Records the run time of a call that was served warm, for its function and its class.
  void record_run(Function& function, int class_index, double run_time);
  void record_load(Function& function, double load_time);

  // Records that a load started now. Has no effect on the count if one is in progress already.
  void begin_load(InstanceSet& instances);
  void end_load(InstanceSet& instances);
  int loads_in_progress() const { return loads_in_progress_; }
  // Drops the records of all instances and loads on a host.
  void drop_instances(int host);

 private:
  // How much the table exceeds its bounds, in functions that no host has confirmed, and in bytes.
  struct Excess {
    std::size_t unconfirmed = 0;
    std::size_t bytes = 0;
  };

  void drop_stale();
  Excess measure_excess();
  std::vector<Function*> eviction_candidates() const;
  void evict(Excess excess);
  void erase(const std::vector<Function*>& evicted);

  const Context& context_;
  ClassTable& classes_;
  std::vector<std::unique_ptr<Function>> functions_;
  std::unordered_map<std::uint64_t, Function*> index_;
  MovingAverage any_run_time_;
  MovingAverage any_load_time_;
  int loads_in_progress_ = 0;  // sum of InstanceSet::loading
  std::size_t bytes_ = 0;
  std::uint64_t evicted_ = 0;
};

}  // namespace lotusyard::policy
