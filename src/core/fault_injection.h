// A build for the tests breaks the rule that it is told to, so that their checkers are checked. Every other
// build keeps all of them, and holds no trace of this.
#pragma once

namespace lotusyard {

#ifdef LOTUSYARD_FAULT_INJECTION
bool fault_injected(const char* rule);  // defined by the tests
#else
constexpr bool fault_injected(const char*) { return false; }
#endif

}  // namespace lotusyard
