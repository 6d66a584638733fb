#include "policy/function_table.h"

#include <algorithm>
#include <utility>

namespace lotusyard::policy {

Function* FunctionTable::find(std::uint64_t id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : found->second;
}

Function& FunctionTable::record_arrival(const event::Request& request, int class_index) {
  Function*& entry = index_[request.function];
  if (entry == nullptr) {
    entry = functions_.emplace_back(std::make_unique<Function>()).get();
    entry->id = request.function;
    entry->created_at = context_.now();
  }
  Function& function = *entry;
  function.tenant = request.tenant;
  function.class_index = class_index;
  function.lanes = std::min(std::max(request.lanes, 1), kMaxLanes);
  if (request.load_hint)
    function.load_hint = std::max(request.load_hint->count(), 0.0);
  function.arrivals = 1 + function.arrivals * context_.decay(function.last_call_at, kDemandTimeConstant);
  function.last_call_at = context_.now();
  return function;
}

double FunctionTable::run_time(const Function& function) const {
  const MovingAverage& own = function.run_time;
  return own.known() ? own.value : classes_.record(function.class_index).run_time.value;
}

double FunctionTable::load_time(const Function& function) const {
  if (function.load_time.known())
    return function.load_time.value;
  return function.load_hint > 0 ? function.load_hint : any_load_time_.value;
}

double FunctionTable::baseline(const Function& function) const {
  if (function.run_time.samples >= kBaselineSamples)
    return function.baseline;
  const double class_baseline = classes_.record(function.class_index).baseline;
  return class_baseline > 0 ? class_baseline : run_time(function);
}

double FunctionTable::demand(const Function& function) const {
  const Millis age = context_.now() - function.created_at;
  const Millis span = std::min(kDemandTimeConstant, std::max(kMinDemandSpan, age));
  const double recent = function.arrivals * context_.decay(function.last_call_at, kDemandTimeConstant);
  return std::max(0.0, recent - 1) / span.count() * baseline(function);
}

void FunctionTable::record_run(Function& function, int class_index, double run_time) {
  const bool many = context_.many_invokers();
  function.run_time.add(run_time, kRunGain, kSampleCap);
  any_run_time_.add(run_time, kSharedRunGain, kSampleCap);
  const double first_cap = many ? kFirstBaselineCap * baseline(function) : function.run_time.value;
  const double growth = many ? kBaselineGrowthManyInvokers : kBaselineGrowth;
  follow_baseline(function.baseline, function.run_time.value, first_cap, growth);
  if (class_index >= 0)
    classes_.record_run(class_index, run_time);
}

void FunctionTable::record_load(Function& function, double load_time) {
  function.load_time.add(load_time, kSparseGain, kSampleCap);
  any_load_time_.add(load_time, kSharedLoadGain, kSampleCap);
}

void FunctionTable::begin_load(InstanceSet& instances) {
  loads_in_progress_ += 1 - std::exchange(instances.loading, 1);
  instances.load_began_at = instances.used_at = context_.now();
}

void FunctionTable::end_load(InstanceSet& instances) {
  loads_in_progress_ -= std::exchange(instances.loading, 0);
}

void FunctionTable::drop_instances(int host) {
  for (const auto& function : functions_) {
    InstanceSet* instances = function->find_instances(host);
    if (instances == nullptr)
      continue;
    instances->warm = 0;
    end_load(*instances);
  }
}

}  // namespace lotusyard::policy
