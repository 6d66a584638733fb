// Request classes: their settings and what was measured of each.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "policy/context.h"
#include "policy/records.h"

namespace lotusyard::policy {

// Follows a run time downwards at once and upwards slowly, by `growth` per answer; `first_cap` bounds the
// first value. All in milliseconds.
void follow_baseline(double& baseline, double run_time, double first_cap, double growth);

// Owns classes by index. An index stays valid while a request of the class is open, even if new settings
// remove the class. Index -1 stands for all unknown classes: it has a record but no settings.
class ClassTable {
 public:
  static constexpr int kUnknown = -1;

  explicit ClassTable(const Context& context) : context_(context) {}

  // Position of a class's record, in this table and in Host::class_health.
  static std::size_t slot(int index) { return static_cast<std::size_t>(std::ptrdiff_t{index} + 1); }
  std::size_t slots() const { return records_.size(); }

  // The index of the class that `name` currently denotes, or kUnknown.
  int find(const std::string& name) const;
  // The settings of a class, or null for kUnknown.
  const ClassSettings* settings(int index) const {
    return index < 0 ? nullptr : &settings_[static_cast<std::size_t>(index)];
  }
  ClassRecord& record(int index) { return records_[slot(index)]; }
  const ClassRecord& record(int index) const { return records_[slot(index)]; }

  // Applies new class settings, after Context::apply_settings. `in_use` says by slot whether requests of a
  // class are open: these keep their settings. Returns the indices that now denote another class.
  std::vector<int> apply_settings(const std::vector<ClassSettings>& wanted, std::vector<bool> in_use);
  // Records the time-out of a call. Returns true if it differs from that of most calls of the class: then the
  // call is a client's own retry, which otherwise looks like a new call.
  bool record_time_left(int index, Millis time_left);
  // Records the run time of an answer, in milliseconds, of a known class.
  void record_run(int index, double run_time);

  // The latency objective in milliseconds, or 0.
  double objective(int index) const;
  // Priority weight for each millisecond of work.
  double priority_weight(int index) const;
  // The highest priority weight of all classes.
  double max_priority_weight() const;
  // The shortest latency objective of all classes in milliseconds: the longest wait of any call.
  double longest_wait() const { return longest_wait_; }

 private:
  void start_record(int index, const ClassRecord& before, const ClassSettings& settings);

  const Context& context_;
  std::vector<ClassSettings> settings_;  // by index
  std::vector<ClassRecord> records_;     // by slot
  std::map<std::string, int> index_;     // of the classes that new requests may name
  double longest_wait_ = kUnlimitedWait;
};

}  // namespace lotusyard::policy
