// How the sub-commands are added to the command line.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>

#include "cli/proposal.h"

namespace lotusyard::cli {

// Runs the sub-command that was given. Empty until the command line is parsed, and where none was given.
using ChosenCommand = std::function<ExitStatus()>;

// Adds a sub-command whose options have the type Options. `run` is chosen if it is given.
template <typename Options>
CLI::App* add_command(CLI::App& parent, ChosenCommand& chosen, const std::shared_ptr<Options>& options,
                      const char* name, const char* description, ExitStatus (*run)(const Options&)) {
  CLI::App* command = parent.add_subcommand(name, description);
  command->callback([&chosen, options, run] { chosen = [options, run] { return run(*options); }; });
  return command;
}

inline void add_member_options(CLI::App& command, MemberOptions& options) {
  command.add_option("--at", options.address, "the address of any member's admin endpoint")->required();
  command.add_option("--patience", options.patience_s, "seconds to wait for the group's decision (10)");
  command.add_option("--id", options.proposal_id,
                     "the proposal's id: repeated under the same id, it takes effect only once");
}

}  // namespace lotusyard::cli
