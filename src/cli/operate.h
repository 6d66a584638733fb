// The operators' sub-commands: they ask a running member through its admin endpoint and print what it says.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace lotusyard {

// Adds `group` and `works` to the program. The one that was asked for is left in `chosen`; it returns the
// program's status.
void add_operating(CLI::App& app, std::function<int()>& chosen);

}  // namespace lotusyard
