// Counts of what the program takes in, sends and answers, by name.
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>

namespace lotusyard::core {

class Counters {
 public:
  void add(const std::string& name, std::uint64_t more = 1) { values_[name] += more; }
  std::uint64_t value(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
  }
  void print(std::ostream& out) const {
    for (const auto& [name, value] : values_)
      out << name << ' ' << value << '\n';
    out.flush();
  }

 private:
  std::map<std::string, std::uint64_t> values_;
};

}  // namespace lotusyard::core
