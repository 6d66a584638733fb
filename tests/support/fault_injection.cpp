#include "support/fault_injection.h"

#include "core/fault_injection.h"

bool lotusyard::fault_injected(const char* rule) { return rule_is_broken(rule); }
