// One host as a list names it, whichever list that is: the change log or an operator's xDS file.
#pragma once

#include <string>
#include <vector>

#include "core/types.h"

namespace lotusyard::core {

struct ListedHost {
  HostEntry entry;
  std::string address;
};

struct HostListUpdate {
  bool complete = false;  // else only what has changed
  std::vector<ListedHost> hosts;
};

}  // namespace lotusyard::core
