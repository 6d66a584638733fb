// Event lines of a cluster program, on standard output.
#pragma once

#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::node {

// Writes and flushes one line: `<component> at=<Unix ms> member=<member> <text>`. `text` is in `key=value`
// form. Not safe for use by several threads.
void write_event(const std::string& component, policy::Millis at, const std::string& member,
                 const std::string& text);

}  // namespace lotusyard::node
