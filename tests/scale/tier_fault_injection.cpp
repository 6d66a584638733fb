// The control sources of this test are told here which of their rules to break.
#include "core/fault_injection.h"
#include "support/fault_injection.h"

bool lotusyard::fault_injected(const char* rule) { return is_injected(rule); }
