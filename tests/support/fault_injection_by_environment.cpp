// Which rule a build for the tests breaks: the one that its environment names.
#include <cstdlib>
#include <cstring>

#include "core/fault_injection.h"

bool lotusyard::fault_injected(const char* rule) {
  static const char* const told = std::getenv("LOTUSYARD_BREAKS");
  return told != nullptr && std::strcmp(told, rule) == 0;
}
