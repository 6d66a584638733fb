#include "cli/job_progress.h"

#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "cli/admin_client.h"
#include "cli/member_view.h"

namespace lotusyard::cli {
namespace {

using nlohmann::json;

constexpr char kJobsPath[] = "/-/works";
constexpr std::chrono::milliseconds kPollInterval{200};
constexpr std::chrono::seconds kRetryInterval{1};

// One line: the job's state, its hosts counted by stage, and why it waits.
void print_summary(const json& job) {
  std::map<std::string, int> hosts_by_stage;
  for (const auto& [id, host] : job.at("hosts").items()) {
    ++hosts_by_stage[host.at("stage").get<std::string>()];
  }
  std::cout << job.at("id").get<std::string>() << ' ' << job.at("state").get<std::string>();
  for (const auto& [stage, count] : hosts_by_stage) {
    std::cout << ' ' << count << ' ' << stage;
  }
  const std::string waiting_reason = job.at("waits").get<std::string>();
  std::cout << (waiting_reason.empty() ? "" : ": " + waiting_reason) << '\n';
}

void print_hosts(const json& job) {
  for (const auto& [id, host] : job.at("hosts").items()) {
    const std::string reason = host.at("reason").get<std::string>();
    std::cout << "  " << id << ' ' << host.at("stage").get<std::string>()
              << (host.at("late").get<bool>() ? " late" : "") << (reason.empty() ? "" : ": " + reason)
              << '\n';
  }
}

const json* find_job(const json& view, const std::string& id) {
  for (const auto& job : view.at("works")) {
    if (job.at("id") == id) {
      return &job;
    }
  }
  return nullptr;
}

std::optional<json> try_fetch_jobs(const AdminClient& client) {
  try {
    return client.fetch_status(kJobsPath);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return std::nullopt;
  }
}

}  // namespace

ExitStatus list_jobs(const ListOptions& options) {
  const auto view = show_member_view(options.member, kJobsPath, options.as_json);
  if (!view) {
    return ExitStatus::done;
  }
  bool is_found = options.job.empty();
  for (const auto& job : view->at("works")) {
    if (!options.job.empty() && job.at("id") != options.job) {
      continue;
    }
    is_found = true;
    print_summary(job);
    if (options.with_hosts) {
      print_hosts(job);
    }
  }
  std::cout << std::flush;
  if (!is_found) {
    std::cerr << "no maintenance job " << options.job << std::endl;
  }
  return is_found ? ExitStatus::done : ExitStatus::refused;
}

ExitStatus watch_job(const MemberOptions& member, const std::string& id) {
  const AdminClient client(member.address);
  std::string printed;
  while (true) {
    const auto view = try_fetch_jobs(client);
    if (!view) {
      std::this_thread::sleep_for(kRetryInterval);
      continue;
    }
    const json* job = find_job(*view, id);
    if (job != nullptr && job->dump() != printed) {
      printed = job->dump();
      std::cout << "index " << view->at("index") << ": ";
      print_summary(*job);
      std::cout << std::flush;
      const std::string state = job->at("state").get<std::string>();
      if (state == "done") {
        return ExitStatus::done;
      }
      if (state == "cancelled") {
        return ExitStatus::refused;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace lotusyard::cli
