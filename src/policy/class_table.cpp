#include "policy/class_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "slot_assignment.h"

namespace lotusyard::policy {

void follow_baseline(double& baseline, double run_time, double first_cap, double growth) {
  baseline = std::min(baseline > 0 ? baseline * growth : first_cap, run_time);
}

int ClassTable::find(const std::string& name) const {
  const auto found = index_.find(name);
  return found == index_.end() ? kUnknown : found->second;
}

std::vector<int> ClassTable::apply_settings(const std::vector<ClassSettings>& wanted,
                                            std::vector<bool> in_use) {
  in_use.erase(in_use.begin());  // the slot of kUnknown
  const std::vector<int> indices = assign_slots(settings_, wanted, std::move(in_use));
  records_.resize(settings_.size() + 1);
  longest_wait_ = kUnlimitedWait;
  const auto before = std::exchange(index_, {});
  std::vector<int> changed;
  for (std::size_t i = 0; i < indices.size(); ++i) {
    const ClassSettings& next = wanted[i];
    if (next.latency_objective.count() > 0)
      longest_wait_ = std::min(longest_wait_, next.latency_objective.count());
    index_[next.name] = indices[i];
    const auto same = before.find(next.name);
    if (same != before.end() && same->second == indices[i])
      continue;
    changed.push_back(indices[i]);
    start_record(indices[i], same != before.end() ? records_[slot(same->second)] : ClassRecord(), next);
  }
  return changed;
}

void ClassTable::start_record(int index, const ClassRecord& before, const ClassSettings& settings) {
  ClassRecord& next = record(index);
  next = ClassRecord(before);
  // With many invokers, the first answers, slow because they waited for a load, would set the usual run time,
  // and every objective would seem out of reach.
  if (!context_.many_invokers() || next.run_time.known() || settings.latency_objective.count() <= 0)
    return;
  next.baseline = settings.latency_objective.count() / kObjectiveToRunTime;
  next.run_time = {next.baseline, kInitialRunTimeSamples};
}

bool ClassTable::record_time_left(int index, Millis time_left) {
  ClassRecord& stats = record(index);
  const Millis tolerance = 2 * context_.settings().tick;
  const bool differs = std::abs((time_left - stats.first_try_timeout).count()) > tolerance.count();
  stats.first_try_score = std::min(stats.first_try_score + (differs ? -1 : 1), kMaxFirstTryScore);
  if (stats.first_try_score >= 0)
    return differs;
  stats.first_try_timeout = time_left;
  stats.first_try_score = 1;
  return false;
}

void ClassTable::record_run(int index, double run_time) {
  ClassRecord& stats = record(index);
  stats.run_time.add(run_time, kSharedRunGain, kSampleCap);
  const double growth = context_.many_invokers() ? kBaselineGrowthManyInvokers : kBaselineGrowth;
  follow_baseline(stats.baseline, stats.run_time.value, stats.run_time.value, growth);
}

double ClassTable::objective(int index) const {
  const ClassSettings* found = settings(index);
  return found == nullptr ? 0 : found->latency_objective.count();
}

double ClassTable::priority_weight(int index) const {
  if (index < 0)
    return 1;
  const double priority_weight = settings(index)->priority_weight;
  const double run_time = record(index).baseline;
  return context_.settings().costs.weight_by_work || run_time <= 0 ? priority_weight
                                                                   : priority_weight / run_time;
}

double ClassTable::max_priority_weight() const {
  double best = kMinPriorityWeight;
  for (int i = 0; slot(i) <= settings_.size(); ++i) {
    best = std::max(best, priority_weight(i));
  }
  return best;
}

}  // namespace lotusyard::policy
