// Prints maintenance jobs and their progress.
#pragma once

#include <string>

#include "cli/proposal.h"

namespace lotusyard::cli {

struct ListOptions {
  MemberOptions member;
  std::string job;  // empty: all jobs
  bool with_hosts = false;
  bool as_json = false;
};

// Prints the jobs in the member's state. Returns `refused` if the named job is not among them.
ExitStatus list_jobs(const ListOptions& options);

// Prints each change of the job until it is done or cancelled. Keeps trying while the member does not
// respond.
ExitStatus watch_job(const MemberOptions& member, const std::string& job);

}  // namespace lotusyard::cli
