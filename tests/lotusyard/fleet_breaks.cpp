#include "breaks_here.h"
#include "core/breaks.h"

bool lotusyard::breaks(const char* rule) { return rule_is_broken(rule); }
