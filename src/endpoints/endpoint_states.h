// One state a host, out of the list and the operators' hand. Whoever hears of hosts tells it here; it tells
// the hosts' part and the core what has become of them. No I/O; the time is passed in.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/listed_host.h"

namespace lotusyard::endpoints {

class EndpointStates {
 public:
  // What is told holds for calls and load orders from then on.
  using UpdateHandler = std::function<void(const core::HostListUpdate&, core::ListKind)>;
  // What the process's clock says, and whether the wall clock has been set since the process started.
  struct ClockReading {
    core::Millis now{0};
    bool wall_has_stepped = false;
  };
  using See = std::function<ClockReading()>;
  // Without `see`, hosts' starts are taken as the list stamps them.
  explicit EndpointStates(UpdateHandler told, See see = nullptr)
      : update_handler_(std::move(told)), see_(std::move(see)) {}

  void apply_list(const core::HostListUpdate& list, core::ListKind kind);

  bool is_known(const std::string& host) const {
    return hosts_.count(host) != 0 || disabled_.count(host) != 0;
  }
  bool disabled(const std::string& host) const { return disabled_.count(host) != 0; }
  const std::set<std::string>& disabled() const { return disabled_; }
  void disable(const std::string& host);
  void enable(const std::string& host, core::Millis now);
  // Hosts that a group's works leave no use of, in whole. Those of `anew` that are used again are cold from
  // now on; the others were only left alone.
  void set_in_maintenance(const std::set<std::string>& out, const std::set<std::string>& anew,
                          core::Millis now);
  void suspend_all(bool held);  // no host is used while it holds
  // As the list names it; nothing: it does not, or says that it is gone.
  std::optional<core::ListedHost> find_listed(const std::string& host) const;
  std::map<std::string, core::ListedHost> listed_hosts() const;  // that are not gone, as listed

  // Who is out as another process has it, in whole.
  void set_disabled(const std::set<std::string>& out, core::Millis now);

 private:
  // Hosts that are gone stay known for a while: one that is away for a short time can still be taken out.
  static constexpr std::size_t max_removed_hosts = 1024;
  struct Host {
    core::ListedHost listed;
    core::Millis started{0};     // by this process's clock, and no earlier than it was
    core::Millis enabled_at{0};  // when the hand last put it back; it is cold from then on
  };
  // A host that comes anew with a stamp so much older than this process is stamped by another clock.
  static constexpr core::Millis untold_most{600e3};
  UpdateHandler update_handler_;
  See see_;
  std::optional<core::Millis> first_list_at_;
  std::map<std::string, Host> hosts_;
  std::set<std::string> disabled_;  // also of hosts that no list names any more
  std::set<std::string> in_maintenance_;
  bool suspended_ = false;
  std::deque<std::string> removed_;

  core::Millis start_of(const Host* before, core::Millis stamped, const ClockReading& sight) const;
  core::ListedHost state_of(const std::string& id, const Host& host) const;
  void notify(const std::string& id);
  void forget_removed(const std::string& id);
};

}  // namespace lotusyard::endpoints
