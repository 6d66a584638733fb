#include "xds/host_file.h"

#include <sys/stat.h>

#include <fstream>
#include <utility>

#include "metrics/host_counters.h"

namespace lotusyard::xds {

HostFile::HostFile(net::EventLoop& loop, metrics::Counters& counters, std::string path, std::string cluster,
                   core::Millis poll_interval, UpdateHandler on_update, ConfirmationHandler on_confirmed)
    : loop_(loop),
      counters_(counters),
      path_(std::move(path)),
      cluster_(std::move(cluster)),
      poll_interval_(poll_interval),
      on_update_(std::move(on_update)),
      on_confirmed_(std::move(on_confirmed)) {}

bool HostFile::start(std::string& error) {
  version_ = file_version();
  const auto read_error = read();
  schedule_poll();
  if (read_error)
    error = read_error->reason;
  return !read_error;
}

bool HostFile::move(const std::string& path, const std::string& cluster, std::string& error) {
  const std::string old_path = std::exchange(path_, path);
  const std::string old_cluster = std::exchange(cluster_, cluster);
  const std::string version = file_version();
  if (const auto read_error = read()) {
    path_ = old_path;
    cluster_ = old_cluster;
    error = read_error->reason;
    return false;
  }
  version_ = version;
  return true;
}

// Changes with each write or replacement of the file; empty if there is no file.
std::string HostFile::file_version() const {
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0)
    return {};
  return std::to_string(status.st_ino) + ' ' + std::to_string(status.st_size) + ' ' +
         std::to_string(status.st_mtim.tv_sec) + ' ' + std::to_string(status.st_mtim.tv_nsec);
}

HostListResult HostFile::parse() const {
  std::ifstream input(path_);
  const auto file = nlohmann::json::parse(input, nullptr, false);
  if (file.is_discarded())
    return HostListError{"cannot be read as JSON"};
  return parse_host_list(file, cluster_);
}

std::optional<HostListError> HostFile::read() {
  const core::Millis started_at = loop_.now();
  HostListResult result = parse();
  is_last_read_valid_ = std::holds_alternative<core::HostListUpdate>(result);
  if (const auto* error = std::get_if<HostListError>(&result)) {
    counters_.add(metrics::kXdsRejected);
    return *error;
  }
  counters_.add(metrics::kXdsLists);
  auto& list = std::get<core::HostListUpdate>(result);
  set_start_times(list);
  on_update_(list);
  on_confirmed_(started_at);
  return std::nullopt;
}

// A host that is new on the list has no warm instances. Hosts on the first list may have started long ago.
void HostFile::set_start_times(core::HostListUpdate& list) {
  const core::Millis start_of_new_host = has_list_ ? loop_.now() : core::Millis(0);
  std::map<std::string, core::Millis> started;
  for (auto& host : list.hosts) {
    const auto known = started_.find(host.entry.host);
    host.entry.started = known != started_.end() ? known->second : start_of_new_host;
    started[host.entry.host] = host.entry.started;
  }
  started_ = std::move(started);
  has_list_ = true;
}

void HostFile::schedule_poll() {
  poll_timer_ = loop_.schedule_at(loop_.now() + poll_interval_, [this] { poll(); });
}

void HostFile::poll() {
  schedule_poll();
  const core::Millis started_at = loop_.now();
  const std::string version = file_version();
  if (version.empty())
    return;  // the file is being replaced, or is missing
  if (version == version_) {
    if (is_last_read_valid_)
      on_confirmed_(started_at);
    return;
  }
  version_ = version;
  read();  // on an error, read() counts it and leaves the old list in use
}

}  // namespace lotusyard::xds
