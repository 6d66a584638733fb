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
  const std::vector<int> places = settle(settings_, wanted, std::move(in_use));
  records_.resize(settings_.size() + 1);
  longest_wait_ = kUnlimitedWait;
  const auto before = std::exchange(index_, {});
  std::vector<int> changed;
  for (std::size_t i = 0; i < places.size(); ++i) {
    const ClassSettings& next = wanted[i];
    if (next.latency_objective.count() > 0)
      longest_wait_ = std::min(longest_wait_, next.latency_objective.count());
    index_[next.name] = places[i];
    const auto same = before.find(next.name);
    if (same != before.end() && same->second == places[i])
      continue;
    changed.push_back(places[i]);
    start_record(places[i], same != before.end() ? records_[slot(same->second)] : ClassRecord(), next);
  }
  return changed;
}

void ClassTable::start_record(int index, const ClassRecord& before, const ClassSettings& settings) {
  ClassRecord& next = record(index);
  next = ClassRecord(before);
  // A router of many would take its first answers, slow because they wait for a load, for the usual run time,
  // and every objective for missed.
  if (!context_.many_routers() || next.run_time.known() || settings.latency_objective.count() <= 0)
    return;
  next.baseline = settings.latency_objective.count() / kObjectiveRuns;
  next.run_time = {next.baseline, kObjectiveSamples};
}

bool ClassTable::record_time_left(int index, Millis time_left) {
  ClassRecord& seen = record(index);
  const Millis tolerance = 2 * context_.settings().tick;
  const bool differs = std::abs((time_left - seen.first_try).count()) > tolerance.count();
  seen.first_tries = std::min(seen.first_tries + (differs ? -1 : 1), kFirstTryVotes);
  if (seen.first_tries >= 0)
    return differs;
  seen.first_try = time_left;
  seen.first_tries = 1;
  return false;
}

void ClassTable::record_run(int index, double run_time) {
  ClassRecord& seen = record(index);
  seen.run_time.add(run_time, kSharedRunGain, kSampleCap);
  const double growth = context_.many_routers() ? kBaselineGrowthManyRouters : kBaselineGrowth;
  follow_baseline(seen.baseline, seen.run_time.value, seen.run_time.value, growth);
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

double ClassTable::best_worth() const {
  double best = kMinWorth;
  for (int i = 0; slot(i) <= settings_.size(); ++i) {
    best = std::max(best, priority_weight(i));
  }
  return best;
}

}  // namespace lotusyard::policy
