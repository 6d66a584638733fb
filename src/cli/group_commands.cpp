#include "cli/group_commands.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "app/app.h"
#include "cli/member_view.h"
#include "config/config.h"
#include "raft/config.h"
#include "raft/raft_replica.h"

namespace lotusyard::cli {
namespace {

using nlohmann::json;

struct InitOptions {
  std::string file;
};

struct StatusOptions {
  MemberOptions member;
  bool as_json = false;
};

struct LeaveOptions {
  MemberOptions member;
  std::string leaving_member;
};

ExitStatus init(const InitOptions& options) {
  const json file = config::read_json_file(options.file);
  const auto config = config::read_config(file, read_environment());
  const auto group = raft::parse_config(file, config.name, core::longest_deadline(config.settings));
  if (!group) {
    throw config::ConfigError("configuration: group: not set");
  }
  raft::RaftReplica::bootstrap(*group);
  std::cout << "member " << group->member << " of group " << group->cluster << " may start" << std::endl;
  return ExitStatus::done;
}

void print_leader(const json& group) {
  std::cout << "term " << group.at("term") << ", led by " << group.at("leader")
            << (group.at("leads").get<bool>() ? " (this one)" : "") << ", lease " << group.at("lease_ms")
            << " ms" << (group.at("failed").get<bool>() ? ", FAILED" : "") << '\n';
}

void print_servers(const json& servers) {
  for (const auto& server : servers) {
    std::cout << "  " << server.at("id") << ' ' << server.at("address").get<std::string>() << ' '
              << server.at("role").get<std::string>() << '\n';
  }
}

void print_members(const json& members) {
  for (const auto& [name, member] : members.items()) {
    std::cout << "  " << name << " life " << member.at("life") << ", follows to " << member.at("follows")
              << ", silent for " << member.at("silent_ms") << " ms, lists " << member.at("listed")
              << " hosts\n";
  }
}

void print_control_node(const json& control) {
  std::cout << "this control node: " << control.at("sessions") << " sessions, which have applied to "
            << control.at("applied") << ", settled to " << control.at("settled") << ", followed to "
            << control.at("followed") << '\n';
}

ExitStatus status(const StatusOptions& options) {
  const auto group = show_member_view(options.member, "/-/group", options.as_json);
  if (!group) {
    return ExitStatus::done;
  }
  print_leader(*group);
  print_servers(group->at("servers"));
  print_members(group->at("members"));
  if (group->contains("control")) {
    print_control_node(group->at("control"));
  }
  std::cout << std::flush;
  return ExitStatus::done;
}

ExitStatus leave(const LeaveOptions& options) {
  return propose(options.member,
                 {{"t", "leave"}, {"member", options.leaving_member}, {"reason", "said by an operator"}});
}

}  // namespace

void add_group_commands(CLI::App& program, ChosenCommand& chosen) {
  CLI::App& group = *program.add_subcommand("group", "a replicated group and its members");
  group.require_subcommand(1);

  const auto init_options = std::make_shared<InitOptions>();
  CLI::App* init_command =
      add_command(group, chosen, init_options, "init",
                  "creates this member's store, once, before the group's first start", &init);
  init_command->add_option("file", init_options->file)->required();

  const auto status_options = std::make_shared<StatusOptions>();
  CLI::App* status_command =
      add_command(group, chosen, status_options, "status",
                  "the group's members and leader, and the index of this member's state", &status);
  add_member_options(*status_command, status_options->member);
  status_command->add_flag("--json", status_options->as_json);

  const auto leave_options = std::make_shared<LeaveOptions>();
  CLI::App* leave_command = add_command(group, chosen, leave_options, "leave",
                                        "removes a member permanently: its process must have ended", &leave);
  add_member_options(*leave_command, leave_options->member);
  leave_command->add_option("member", leave_options->leaving_member)->required();
}

}  // namespace lotusyard::cli
