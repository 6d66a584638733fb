#include "support/fault_injection.h"

#include "core/fault_injection.h"

bool lotusyard::fault_injected(const char* fault) { return is_injected(fault); }
