// The sub-command `works timeline`: who was out when, from the logs of members.
#pragma once

#include "cli/subcommand.h"

namespace lotusyard::cli {

void add_timeline_command(CLI::App& works, ChosenCommand& chosen);

}  // namespace lotusyard::cli
