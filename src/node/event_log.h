// What a member writes down of its group, a line each, on standard output.
#pragma once

#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::node {

// `part at=<Unix ms> member=<member> <text>`
void write_event(const std::string& part, policy::Millis at, const std::string& member,
                 const std::string& text);

}  // namespace lotusyard::node
