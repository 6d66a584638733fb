// Arithmetic that policy/ uses; it decides nothing and holds no tuned value.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace lotusyard::policy {

// A moving average: the plain mean at first, then with the given gain; a sample counts at most `outlier`
// times it.
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

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64's finisher
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hash_of(const std::string& text) {  // FNV-1a, the same on every machine
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix(hash);
}

}  // namespace lotusyard::policy
