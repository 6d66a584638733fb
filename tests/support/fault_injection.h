// Injects a fault into the code under test for the length of a scope, so that a test can prove that its
// checks detect the fault.
#pragma once

#include <string>

namespace lotusyard {
inline std::string injected_fault;  // empty: none
inline bool is_injected(const char* fault) { return injected_fault == fault; }
struct FaultInjection {
  struct Scope {
    explicit Scope(const char* fault) { injected_fault = fault; }
    ~Scope() { injected_fault.clear(); }
  };
};
}  // namespace lotusyard
