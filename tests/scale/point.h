// Output of the scale tests: one JSON line for each measured point and one for each fit.
#pragma once

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace lotusyard::scale {

constexpr std::uint64_t kSeed = 20261202;  // of all random numbers in these tests
constexpr double kTargetMembers = 16000;   // invokers
constexpr double kMegabyte = 1024 * 1024;

// Identifies one measured figure. `conditions` holds further parameters, such as the number of hosts.
struct Point {
  std::string test;
  std::size_t n = 0;  // members
  std::string role;   // of the measured process: "leader", "other", "member"
  std::string metric;
  double seconds = 0;  // of the measured interval; 0: a single operation
  std::map<std::string, double> conditions;
};

inline double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

// Prints the spread of `values` and returns their median.
inline double print(const Point& point, std::vector<double> values) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  nlohmann::ordered_json line = {{"test", point.test},       {"n", point.n},
                                 {"role", point.role},       {"metric", point.metric},
                                 {"least", values.front()},  {"median", median(values)},
                                 {"most", values.back()},    {"values", values.size()},
                                 {"seconds", point.seconds}, {"seed", kSeed}};
  for (const auto& [key, value] : point.conditions)
    line[key] = value;
  std::cout << line.dump() << std::endl;
  return median(values);
}

// A least-squares line through (x, y).
struct Line {
  double intercept = 0, slope = 0, r_squared = 0;
  double at(double x) const { return intercept + slope * x; }
};

inline Line fit_line(const std::vector<double>& x, const std::vector<double>& y) {
  const double count = static_cast<double>(x.size());
  double mean_x = 0, mean_y = 0, xx = 0, xy = 0, yy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    mean_x += x[i] / count;
    mean_y += y[i] / count;
  }
  for (std::size_t i = 0; i < x.size(); ++i) {
    xx += (x[i] - mean_x) * (x[i] - mean_x);
    xy += (x[i] - mean_x) * (y[i] - mean_y);
    yy += (y[i] - mean_y) * (y[i] - mean_y);
  }
  Line out;
  out.slope = xx > 0 ? xy / xx : 0;
  out.intercept = mean_y - out.slope * mean_x;
  out.r_squared = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
  return out;
}

// The exponent of y = factor * x^exponent, as a line through the logarithms; all values must be positive.
inline Line fit_power(const std::vector<double>& x, const std::vector<double>& y) {
  std::vector<double> log_x, log_y;
  for (std::size_t i = 0; i < x.size(); ++i) {
    if (x[i] <= 0 || y[i] <= 0)
      continue;
    log_x.push_back(std::log(x[i]));
    log_y.push_back(std::log(y[i]));
  }
  return fit_line(log_x, log_y);
}

// Medians of one metric against one varied quantity.
struct Series {
  std::vector<double> x, y;
  void add(double at, double value) {
    x.push_back(at);
    y.push_back(value);
  }
};

// Prints three fits of a series (linear, power, linear in squares) and what each predicts at `target`.
inline void print_fit(const Point& point, const std::string& against, const Series& series, double target) {
  if (series.x.size() < 2)
    return;
  const Line line = fit_line(series.x, series.y), power = fit_power(series.x, series.y);
  std::vector<double> squares;
  for (const double x : series.x)
    squares.push_back(x * x);
  const Line square = fit_line(squares, series.y);
  const double most = *std::max_element(series.x.begin(), series.x.end());
  nlohmann::ordered_json out = {{"fit", point.test},
                                {"role", point.role},
                                {"metric", point.metric},
                                {"against", against},
                                {"points", series.x.size()},
                                {"measured_to", most},
                                {"slope", line.slope},
                                {"intercept", line.intercept},
                                {"r2", line.r_squared},
                                {"exponent", power.slope},
                                {"factor", std::exp(power.intercept)},
                                {"r2_loglog", power.r_squared},
                                {"slope_of_squares", square.slope},
                                {"r2_of_squares", square.r_squared},
                                {"target", target},
                                {"linear_at_target", line.at(target)},
                                {"power_at_target", std::exp(power.at(std::log(target)))},
                                {"square_at_target", square.at(target * target)},
                                {"times_beyond_measured", target / most}};
  for (const auto& [key, value] : point.conditions)
    out[key] = value;
  std::cout << out.dump() << std::endl;
}

// Processor time used by this process, in seconds.
inline double processor_seconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

// Bytes currently allocated; meaningless under sanitizers.
inline double allocated_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// The processor seconds of each of `times` runs of `body`.
template <typename Body>
std::vector<double> timed(int times, const Body& body) {
  std::vector<double> out;
  for (int i = 0; i < times; ++i) {
    const double started = processor_seconds();
    body();
    out.push_back(processor_seconds() - started);
  }
  return out;
}

// Comma-separated numbers of an environment variable; `fallback` if it is not set.
inline std::vector<double> numbers_from_env(const char* variable, std::vector<double> fallback) {
  const char* text = std::getenv(variable);
  if (text == nullptr)
    return fallback;
  std::vector<double> out;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');)
    out.push_back(std::stod(word));
  return out;
}

}  // namespace lotusyard::scale
