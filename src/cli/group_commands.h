// The sub-commands of `group`: a replicated group, its members and its status.
#pragma once

#include "cli/subcommand.h"

namespace lotusyard::cli {

void add_group_commands(CLI::App& program, ChosenCommand& chosen);

}  // namespace lotusyard::cli
