// Statistics of measured values, printed as one line of JSON per point.
#pragma once

#include <algorithm>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lotusyard::test {

class Sample {
 public:
  void add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  std::size_t size() const { return values_.size(); }
  double quantile(double share) {  // 0: the minimum, 1: the maximum
    if (values_.empty())
      return 0;
    if (!std::exchange(sorted_, true))
      std::sort(values_.begin(), values_.end());
    return values_[static_cast<std::size_t>(share * static_cast<double>(values_.size() - 1))];
  }

 private:
  std::vector<double> values_;
  bool sorted_ = true;
};

// Fields that all points of one run share.
struct RunLabel {
  std::string test;
  std::size_t invokers = 0, nodes = 0;
  double virtual_seconds = 0;
  std::uint64_t seed = 0;
  nlohmann::ordered_json more = nlohmann::ordered_json::object();  // further fields
};

inline double rounded(double value) { return std::round(value * 1000) / 1000; }

inline void print_point(const RunLabel& label, const std::string& role, const std::string& metric,
                        Sample& sample) {
  nlohmann::ordered_json out = {{"test", label.test},
                                {"n", label.invokers},
                                {"nodes", label.nodes},
                                {"role", role},
                                {"metric", metric},
                                {"least", rounded(sample.quantile(0))},
                                {"median", rounded(sample.quantile(0.5))},
                                {"p99", rounded(sample.quantile(0.99))},
                                {"most", rounded(sample.quantile(1))},
                                {"count", sample.size()},
                                {"virtual_seconds", label.virtual_seconds},
                                {"seed", label.seed}};
  if (label.more.is_object())
    out.update(label.more);
  std::cout << out.dump() << std::endl;
}

inline void print_value(const RunLabel& label, const std::string& role, const std::string& metric,
                        double value) {
  Sample sample;
  sample.add(value);
  print_point(label, role, metric, sample);
}

// The slope of a least-squares line through (x, y).
inline double slope(const std::vector<std::pair<double, double>>& points) {
  double mean_x = 0, mean_y = 0, numerator = 0, denominator = 0;
  for (const auto& point : points) {
    mean_x += point.first / static_cast<double>(points.size());
    mean_y += point.second / static_cast<double>(points.size());
  }
  for (const auto& point : points) {
    numerator += (point.first - mean_x) * (point.second - mean_y);
    denominator += (point.first - mean_x) * (point.first - mean_x);
  }
  return denominator > 0 ? numerator / denominator : 0;
}

}  // namespace lotusyard::test
