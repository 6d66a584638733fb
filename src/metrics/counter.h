// Types of counter definitions. All counters are defined in the `*_counters.h` of this folder;
// `docs/metrics.md` is generated from these headers, and a test checks that it is current.
#pragma once

#include <string_view>

namespace lotusyard::metrics {

// A counter with a fixed name. Names are public: dashboards and scripts read them.
struct Counter {
  std::string_view name;
  std::string_view help;
};

// A family of counters that are printed as the prefix and a label, such as the reason of a rejection.
struct LabelledCounter {
  std::string_view prefix;
  std::string_view help;
};

}  // namespace lotusyard::metrics
