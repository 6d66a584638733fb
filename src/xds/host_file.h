// Watches a file with an endpoint list in Envoy's xDS format.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/listed_host.h"
#include "metrics/counters.h"
#include "net/event_loop.h"
#include "xds/host_list_parser.h"

namespace lotusyard::xds {

// Reads the file again whenever it changes. A host that is added after the first reading, or returns,
// counts as just started. A file that cannot be read leaves the hosts as they are. Loop and counters must
// outlive it.
class HostFile {
 public:
  using UpdateHandler = std::function<void(const core::HostListUpdate&)>;
  // Called with a time; all changes of the file before it are known.
  using ConfirmationHandler = std::function<void(core::Millis)>;

  HostFile(
      net::EventLoop& loop, metrics::Counters& counters, std::string path, std::string cluster,
      core::Millis poll_interval, UpdateHandler on_update,
      ConfirmationHandler on_confirmed = [](core::Millis) {});
  ~HostFile() { loop_.cancel(poll_timer_); }
  HostFile(const HostFile&) = delete;
  HostFile& operator=(const HostFile&) = delete;

  // Reads the file and starts to watch it. Returns false and sets `error` if it cannot be read; it is watched
  // even then.
  bool start(std::string& error);

  // Changes the file and the cluster from which the list is read. Returns false, sets `error` and changes
  // nothing if it cannot be read.
  bool move(const std::string& path, const std::string& cluster, std::string& error);

 private:
  net::EventLoop& loop_;
  metrics::Counters& counters_;
  std::string path_;
  std::string cluster_;
  core::Millis poll_interval_;
  UpdateHandler on_update_;
  ConfirmationHandler on_confirmed_;
  net::EventLoop::TimerId poll_timer_{};
  std::string version_;  // of the file that was read last
  bool has_list_ = false;
  bool is_last_read_valid_ = false;
  std::map<std::string, core::Millis> started_;  // by host, of the hosts on the last list

  std::string file_version() const;
  std::optional<HostListError> read();
  HostListResult parse() const;
  void set_start_times(core::HostListUpdate& list);
  void schedule_poll();
  void poll();
};

}  // namespace lotusyard::xds
