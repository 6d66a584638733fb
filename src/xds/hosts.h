// Envoy's Cluster and ClusterLoadAssignment, as JSON, read as a list of hosts.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core/listed_host.h"
#include "metrics/counters.h"
#include "net/event_loop.h"

namespace lotusyard::xds {

// The endpoints of one cluster. Nothing, and a reason in `fault`, if the text does not hold it whole: half a
// list must not be taken for one from which hosts were removed.
std::optional<core::HostListUpdate> read_hosts(const nlohmann::json& file, const std::string& cluster,
                                               std::string& fault);

// Such a file, read again whenever it changes. An endpoint that comes later, or comes back, has just started.
class HostFile {
 public:
  using Told = std::function<void(const core::HostListUpdate&)>;
  HostFile(net::EventLoop& loop, metrics::Counters& counters, std::string path, std::string cluster,
           core::Millis pace, Told told);
  ~HostFile() { loop_.cancel(timer_); }
  bool start(std::string& fault);  // false if the first reading fails
  // The list is in another file, or another cluster's, from now on; false, and nothing changed, if it cannot
  // be read.
  bool move(const std::string& path, const std::string& cluster, std::string& fault);

 private:
  net::EventLoop& loop_;
  metrics::Counters& counters_;
  std::string path_, cluster_;
  core::Millis pace_;
  Told told_;
  net::EventLoop::TimerId timer_{};
  std::string stamp_;  // what tells one writing of the file from the next
  bool read_once_ = false;
  std::map<std::string, core::Millis> started_;  // of the hosts on the last list

  std::string stamp() const;
  bool read(std::string& fault);
  void look();
};

}  // namespace lotusyard::xds
