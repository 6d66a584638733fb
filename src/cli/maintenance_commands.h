// The sub-commands of `works`: maintenance jobs over hosts.
#pragma once

#include "cli/subcommand.h"

namespace lotusyard::cli {

void add_maintenance_commands(CLI::App& program, ChosenCommand& chosen);

}  // namespace lotusyard::cli
