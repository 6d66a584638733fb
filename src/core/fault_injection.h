// Fault injection points. Tests that check other tests' checkers have a rule broken on purpose; every other
// build keeps all rules and contains no trace of this.
#pragma once

namespace lotusyard {

// Whether the code that keeps the rule has to break it now.
#ifdef LOTUSYARD_FAULT_INJECTION
bool fault_injected(const char* rule);  // defined by the tests
#else
constexpr bool fault_injected(const char*) { return false; }
#endif

}  // namespace lotusyard
