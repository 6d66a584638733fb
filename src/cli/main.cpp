// The cluster program: an invoker with durable results, a replicated log and the sub-commands of operators.
// Without a sub-command it starts like lotusyard.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "app/app.h"
#include "cli/configuration_commands.h"
#include "cli/group_commands.h"
#include "cli/maintenance_commands.h"
#include "node/cluster_member.h"

int main(int argument_count, char** arguments) {
  using namespace lotusyard;
  CLI::App program{"An invoker with AMQP triggers and durable answers"};
  std::string file;
  program.add_option("file", file, "the configuration; without it the one that BALANCER_CONFIG names");
  cli::ChosenCommand chosen;
  cli::add_configuration_commands(program, chosen);
  cli::add_group_commands(program, chosen);
  cli::add_maintenance_commands(program, chosen);
  program.require_subcommand(0, 1);
  CLI11_PARSE(program, argument_count, arguments);
  std::signal(SIGPIPE, SIG_IGN);  // a member that closes its connection is an error of that request
  try {
    if (chosen) {
      return static_cast<int>(chosen());
    }
    return run(file.empty() ? environment("BALANCER_CONFIG") : file, cli::open_result_store,
               node::make_extension);
  } catch (const std::exception& error) {
    std::cerr << "lotusyard: " << error.what() << std::endl;
    return 1;
  }
}
