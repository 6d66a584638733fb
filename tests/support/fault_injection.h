// Rules that the pure modules of this test are told to break, to see that the checks find it.
#pragma once

#include <string>

namespace lotusyard {
inline std::string broken_rule;
inline bool rule_is_broken(const char* rule) { return broken_rule == rule; }
struct Breaks {
  struct Rule {
    explicit Rule(const char* rule) { broken_rule = rule; }
    ~Rule() { broken_rule.clear(); }
  };
};
}  // namespace lotusyard
