// The values of all counters of a process. Not synchronised: only one thread may use it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <string_view>

#include "metrics/counter.h"

namespace lotusyard::metrics {

class Counters {
 public:
  void add(const Counter& counter, std::uint64_t amount = 1) { value_of(counter.name) += amount; }
  // Replaces the value: for measurements rather than counts.
  void set(const Counter& counter, std::uint64_t value) { value_of(counter.name) = value; }
  void add(const LabelledCounter& counter, std::string_view label) {
    value_of(std::string(counter.prefix).append(label)) += 1;
  }

  // The value of a counter by its printed name; 0 if it was never added to.
  std::uint64_t value(std::string_view name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
  }
  std::uint64_t value(const Counter& counter) const { return value(counter.name); }

  // Prints each counter that was added to as a line "name value", in the order of their names.
  void print(std::ostream& out) const {
    for (const auto& [name, value] : values_) {
      out << name << ' ' << value << '\n';
    }
    out.flush();
  }

 private:
  std::map<std::string, std::uint64_t, std::less<>> values_;

  std::uint64_t& value_of(std::string_view name) {
    const auto found = values_.find(name);
    return found != values_.end() ? found->second : values_[std::string(name)];
  }
};

}  // namespace lotusyard::metrics
