// Connects the fault points of the control sources to the tests' FaultInjection.
#include "core/fault_injection.h"
#include "support/fault_injection.h"

bool lotusyard::fault_injected(const char* rule) { return is_injected(rule); }
