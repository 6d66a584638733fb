// One host as a list names it, whichever list that is: the change log or an operator's xDS file.
#pragma once

#include <string>
#include <vector>

#include "core/types.h"

namespace lotusyard::core {

struct Member {
  WorkerEntry entry;
  std::string address;
};

struct MemberList {
  bool complete = false;  // else only what has changed
  std::vector<Member> members;
};

}  // namespace lotusyard::core
