// Injects the fault that the environment variable LOTUSYARD_BREAKS names.
#include <cstdlib>
#include <cstring>

#include "core/fault_injection.h"

bool lotusyard::fault_injected(const char* fault) {
  static const char* const injected = std::getenv("LOTUSYARD_BREAKS");
  return injected != nullptr && std::strcmp(injected, fault) == 0;
}
