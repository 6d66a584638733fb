// Measured values and their output: one line of JSON for each point.
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
  double at(double share) {  // 0: the least, 1: the most
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

// What all points of one run have in common.
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
                                {"least", rounded(sample.at(0))},
                                {"median", rounded(sample.at(0.5))},
                                {"p99", rounded(sample.at(0.99))},
                                {"most", rounded(sample.at(1))},
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

// Least squares: the slope of y over x.
inline double slope(const std::vector<std::pair<double, double>>& points) {
  double x = 0, y = 0, above = 0, below = 0;
  for (const auto& point : points) {
    x += point.first / static_cast<double>(points.size());
    y += point.second / static_cast<double>(points.size());
  }
  for (const auto& point : points) {
    above += (point.first - x) * (point.second - y);
    below += (point.first - x) * (point.first - x);
  }
  return below > 0 ? above / below : 0;
}

}  // namespace lotusyard::test
