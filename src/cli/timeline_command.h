// The sub-command `works timeline`: which hosts were out and when, from the logs of members.
#pragma once

#include "cli/subcommand.h"

namespace lotusyard::cli {

void add_timeline_command(CLI::App& works, ChosenCommand& chosen);

}  // namespace lotusyard::cli
