#include "cli/maintenance_commands.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/job_progress.h"
#include "cli/timeline_command.h"

namespace lotusyard::cli {
namespace {

using nlohmann::json;

struct AddOptions {
  MemberOptions member;
  std::string job;
  std::vector<std::string> hosts, zones, kinds;
  bool all_hosts = false;
  int max_out = 1;
  int max_out_in_zone = 0;
  int max_out_of_kind = 0;
  double min_usable = 0.5;
  double max_away_s = 600;
  double pause_s = 0;
  bool returns_on_restart = false;
  bool waits = false;
};

struct JobOptions {
  MemberOptions member;
  std::string job;
};

struct ReturnedOptions {
  MemberOptions member;
  std::string host;
};

json selection_of(const AddOptions& options) {
  json select = json::object();
  if (options.all_hosts) {
    select["all"] = true;
  }
  if (!options.hosts.empty()) {
    select["hosts"] = options.hosts;
  }
  if (!options.zones.empty()) {
    select["zones"] = options.zones;
  }
  if (!options.kinds.empty()) {
    select["kinds"] = options.kinds;
  }
  return select;
}

json bounds_of(const AddOptions& options) {
  constexpr double kMillisPerSecond = 1000;
  return {{"out", options.max_out},
          {"zone", options.max_out_in_zone},
          {"kind", options.max_out_of_kind},
          {"usable", options.min_usable},
          {"away_ms", options.max_away_s * kMillisPerSecond},
          {"pause_ms", options.pause_s * kMillisPerSecond},
          {"answers", options.returns_on_restart}};
}

ExitStatus add(const AddOptions& options) {
  const json job = {{"id", options.job}, {"select", selection_of(options)}, {"bounds", bounds_of(options)}};
  const ExitStatus status = propose(options.member, {{"t", "add"}, {"added", job}});
  if (status != ExitStatus::done || !options.waits) {
    return status;
  }
  return watch_job(options.member, options.job);
}

ExitStatus wait(const JobOptions& options) { return watch_job(options.member, options.job); }

ExitStatus change_state(const JobOptions& options, const char* state) {
  return propose(options.member, {{"t", "alter"}, {"work", options.job}, {"state", state}});
}
ExitStatus pause(const JobOptions& options) { return change_state(options, "paused"); }
ExitStatus resume(const JobOptions& options) { return change_state(options, "running"); }
ExitStatus cancel(const JobOptions& options) { return change_state(options, "cancelled"); }

ExitStatus return_host(const ReturnedOptions& options) {
  return propose(options.member,
                 {{"t", "returned"}, {"host", options.host}, {"reason", "said by an operator"}});
}

void add_add_command(CLI::App& works, ChosenCommand& chosen) {
  const auto options = std::make_shared<AddOptions>();
  CLI::App& command = *add_command(works, chosen, options, "add", "adds a maintenance job", &add);
  add_member_options(command, options->member);
  command.add_option("work", options->job)->required();
  command.add_option("--host", options->hosts, "hosts by id");
  command.add_option("--zone", options->zones, "all hosts of these zones");
  command.add_option("--kind", options->kinds, "all hosts of these kinds");
  command.add_flag("--all", options->all_hosts, "all hosts");
  command.add_option("--out", options->max_out, "how many may be out at once (1)");
  command.add_option("--zone-out", options->max_out_in_zone,
                     "how many of each zone may be out at once (0: no limit)");
  command.add_option("--kind-out", options->max_out_of_kind,
                     "how many of each kind may be out at once (0: no limit)");
  command.add_option("--usable", options->min_usable, "least share of all hosts that must stay usable (0.5)");
  command.add_option("--away", options->max_away_s, "seconds that a host may be out (600)");
  command.add_option("--pause", options->pause_s, "seconds after each return (0)");
  command.add_flag("--answers", options->returns_on_restart,
                   "a host that restarts while it is out counts as returned");
  command.add_flag("--wait", options->waits, "shows progress until the job is done");
}

void add_job_command(CLI::App& works, ChosenCommand& chosen, const char* name, const char* description,
                     ExitStatus (*run)(const JobOptions&)) {
  const auto options = std::make_shared<JobOptions>();
  CLI::App& command = *add_command(works, chosen, options, name, description, run);
  add_member_options(command, options->member);
  command.add_option("work", options->job)->required();
}

void add_list_commands(CLI::App& works, ChosenCommand& chosen) {
  const auto list_options = std::make_shared<ListOptions>();
  CLI::App& list = *add_command(works, chosen, list_options, "list", "all maintenance jobs", &list_jobs);
  add_member_options(list, list_options->member);
  list.add_flag("--json", list_options->as_json);

  const auto show_options = std::make_shared<ListOptions>();
  show_options->with_hosts = true;
  CLI::App& show =
      *add_command(works, chosen, show_options, "show", "one maintenance job, host by host", &list_jobs);
  add_member_options(show, show_options->member);
  show.add_option("work", show_options->job)->required();
  show.add_flag("--json", show_options->as_json);
}

void add_returned_command(CLI::App& works, ChosenCommand& chosen) {
  const auto options = std::make_shared<ReturnedOptions>();
  CLI::App& command =
      *add_command(works, chosen, options, "returned", "a host may be used again", &return_host);
  add_member_options(command, options->member);
  command.add_option("host", options->host)->required();
}

}  // namespace

void add_maintenance_commands(CLI::App& program, ChosenCommand& chosen) {
  CLI::App& works = *program.add_subcommand("works", "maintenance jobs on hosts");
  works.require_subcommand(1);
  add_add_command(works, chosen);
  add_list_commands(works, chosen);
  add_job_command(works, chosen, "wait", "shows progress until the job is done", &wait);
  add_job_command(works, chosen, "pause", "takes no further hosts out", &pause);
  add_job_command(works, chosen, "resume", "takes hosts out again", &resume);
  add_job_command(works, chosen, "cancel",
                  "hosts in use stay in use; hosts that are out stay out until they are returned", &cancel);
  add_returned_command(works, chosen);
  add_timeline_command(works, chosen);
}

}  // namespace lotusyard::cli
