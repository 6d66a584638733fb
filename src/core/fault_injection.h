// Fault injection points. They break a rule on purpose in the builds that verify that the checkers of the
// tests find it; all other builds follow every rule and contain no fault injection.
#pragma once

namespace lotusyard {

// Whether the code that implements the rule has to break it now.
#ifdef LOTUSYARD_FAULT_INJECTION
bool fault_injected(const char* rule);  // defined by the tests
#else
constexpr bool fault_injected(const char*) { return false; }
#endif

}  // namespace lotusyard
