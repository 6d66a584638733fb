// The effective state of each host: what the endpoint list says, overridden by operators and maintenance.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/listed_host.h"

namespace lotusyard::endpoints {

// All changes of hosts go through this class; its update handler receives the resulting states. Does no I/O;
// the clock is passed in.
class EndpointStates {
 public:
  // Called with the effective states of hosts that may have changed.
  using UpdateHandler = std::function<void(const core::HostListUpdate&, core::ListKind)>;

  struct ClockReading {
    core::Millis now{0};
    bool wall_has_stepped = false;  // the wall clock was set since the process started
  };
  using ClockReader = std::function<ClockReading()>;

  // Without a `read_clock`, the start times of hosts are accepted as they are on the list.
  explicit EndpointStates(UpdateHandler on_update, ClockReader read_clock = nullptr)
      : update_handler_(std::move(on_update)), read_clock_(std::move(read_clock)) {}

  // Applies an update of the endpoint list.
  void apply_list(const core::HostListUpdate& list, core::ListKind kind);

  // Whether the host is or was on the list, or is disabled. Of the hosts that have left the list, the latest
  // kMaxRemovedHosts are known.
  bool is_known(const std::string& host) const {
    return hosts_.count(host) != 0 || disabled_.count(host) != 0;
  }

  // Hosts that operators disabled get no new calls, whatever the list says.
  bool is_disabled(const std::string& host) const { return disabled_.count(host) != 0; }
  const std::set<std::string>& disabled_hosts() const { return disabled_; }
  void disable(const std::string& host);
  // The host counts as just started at `now`. Does nothing if it is not disabled.
  void enable(const std::string& host, core::Millis now);
  // Replaces the set of disabled hosts by the one that all processes share.
  void set_disabled(const std::set<std::string>& hosts, core::Millis now);

  // Replaces the set of hosts that get no new calls because of maintenance. Hosts that leave the set and are
  // in `restarted` count as just started at `now`.
  void set_in_maintenance(const std::set<std::string>& in_maintenance, const std::set<std::string>& restarted,
                          core::Millis now);

  // While suspended, no host gets new calls.
  void set_all_suspended(bool suspended);

  // The host as it is on the list; nothing if it is not on it or is gone.
  std::optional<core::ListedHost> find_listed(const std::string& host) const;
  // All hosts on the list that are not gone, as they are on it.
  std::map<std::string, core::ListedHost> listed_hosts() const;

 private:
  // Hosts that are gone stay known, so that one that leaves the list for a short time can still be disabled.
  static constexpr std::size_t kMaxRemovedHosts = 1024;
  // A new host cannot have started longer than this before this process received its first list; an earlier
  // start time comes from a clock that differs.
  static constexpr core::Millis kMaxListDelay{600e3};

  struct Host {
    core::ListedHost listed;
    core::Millis started{0};     // by this process's clock; never decreases
    core::Millis enabled_at{0};  // when it last returned from being disabled or in maintenance
  };

  UpdateHandler update_handler_;
  ClockReader read_clock_;
  std::optional<core::Millis> first_list_at_;
  std::map<std::string, Host> hosts_;
  std::set<std::string> disabled_;  // may contain hosts that have left the list
  std::set<std::string> in_maintenance_;
  bool suspended_ = false;
  std::deque<std::string> removed_;  // hosts that are gone, oldest first

  core::ListedHost effective_state(const std::string& id, const Host& host) const;
  core::ListedHost apply_host(const core::ListedHost& listed, const ClockReading& clock);
  core::Millis start_time(const Host* known, core::Millis listed_start, const ClockReading& clock) const;
  bool is_credible_start(const Host* known, core::Millis listed_start, const ClockReading& clock) const;
  void remove_unlisted(const std::set<std::string>& listed);
  void notify(const std::string& id);
  void add_removed(const std::string& id);
};

}  // namespace lotusyard::endpoints
