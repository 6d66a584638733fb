#include "maintenance/disruption_budget.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lotusyard::maintenance {
namespace {

constexpr double kRoundingTolerance = 1e-9;

// The hosts that count against the bounds, in all and in the zone and of the kind of one host.
struct UnavailableHosts {
  int all = 0, same_zone = 0, same_kind = 0;
  std::set<std::string> jobs;  // the jobs of these hosts
};

UnavailableHosts count_unavailable(const std::map<std::string, HostProgress>& hosts, const HostKey& host) {
  UnavailableHosts out;
  for (const auto& [id, progress] : hosts) {
    if (!counts_against_bounds(progress.stage))
      continue;
    out.jobs.insert(progress.job);
    ++out.all;
    out.same_zone += progress.key.zone == host.zone;
    out.same_kind += progress.key.kind == host.kind;
  }
  return out;
}

std::string describe_limit(const MaintenanceJob& job, const std::string& what, int limit) {
  return std::to_string(limit) + ' ' + what + " may be out at once by work " + job.id + ", and are";
}

std::string exceeded_bound_of(const MaintenanceJob& job, const HostKey& host, const UnavailableHosts& out,
                              int listed_hosts) {
  const DisruptionBounds& bounds = job.bounds;
  if (out.all >= bounds.max_out)
    return describe_limit(job, "hosts", bounds.max_out);
  if (bounds.max_out_per_zone > 0 && out.same_zone >= bounds.max_out_per_zone)
    return describe_limit(job, "of zone " + host.zone, bounds.max_out_per_zone);
  if (bounds.max_out_per_kind > 0 && out.same_kind >= bounds.max_out_per_kind)
    return describe_limit(job, "of kind " + host.kind, bounds.max_out_per_kind);
  const int max_unavailable = DisruptionBudget::max_unavailable_hosts(bounds.min_usable_share, listed_hosts);
  if (out.all >= max_unavailable)
    return describe_limit(job, "of those listed", max_unavailable);
  return {};
}

}  // namespace

int DisruptionBudget::max_unavailable_hosts(double min_usable_share, int listed_hosts) {
  return static_cast<int>(std::floor((1 - min_usable_share) * listed_hosts + kRoundingTolerance));
}

std::string DisruptionBudget::exceeded_bound(const MaintenanceJob& job, const HostKey& host) const {
  UnavailableHosts out = count_unavailable(hosts_, host);
  out.jobs.insert(job.id);
  for (const auto& bounding_job : jobs_) {
    if (out.jobs.count(bounding_job.id) == 0)
      continue;
    std::string exceeded = exceeded_bound_of(bounding_job, host, out, listed_hosts_);
    if (!exceeded.empty())
      return exceeded;
  }
  return {};
}

int DisruptionBudget::max_hosts_in_progress() const {
  double min_usable_share = 0;
  for (const auto& job : jobs_) {
    const bool is_open =
        job.state == MaintenanceJob::State::running || job.state == MaintenanceJob::State::paused;
    if (is_open)
      min_usable_share = std::max(min_usable_share, job.bounds.min_usable_share);
  }
  return max_unavailable_hosts(min_usable_share, listed_hosts_);
}

int DisruptionBudget::hosts_in_progress() const {
  const auto is_in_progress = [](const auto& host) {
    return host.second.stage != HostStage::waiting && host.second.stage != HostStage::returned;
  };
  return static_cast<int>(std::count_if(hosts_.begin(), hosts_.end(), is_in_progress));
}

}  // namespace lotusyard::maintenance
