// Arithmetic helpers of the decision module: a moving average and hash functions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace lotusyard::policy {

// An exponential moving average that starts as the plain mean, until 1 / samples falls below `gain`. A sample
// counts at most as `outlier` times the current value.
struct MovingAverage {
  double value = 0;
  int samples = 0;
  void add(double sample, double gain, double outlier) {
    if (samples > 0)
      sample = std::min(sample, outlier * value);
    value += std::max(gain, 1.0 / (samples + 1)) * (sample - value);
    if (samples < 1000)
      ++samples;
  }
  bool known() const { return samples > 0; }
};

inline std::uint64_t mix64(std::uint64_t x) {  // the finalizer of splitmix64
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hash_of(const std::string& text) {  // FNV-1a, then mix64: the same on every machine
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix64(hash);
}

}  // namespace lotusyard::policy
