// Keeps track of which hosts are known to take new work, and keeps some of them within reach while the
// endpoint list cannot be confirmed.
#pragma once

#include <functional>
#include <map>
#include <ostream>
#include <string>

#include "hosts/connection_selector.h"
#include "hosts/connection_services.h"
#include "hosts/host_readiness.h"
#include "hosts/pooled_host.h"

namespace lotusyard::hosts {

// What happened, for the log: one for each change of state, never one for a call.
struct ReadinessEvent {
  enum class Kind { list_expired, list_confirmed, host_withheld, host_readmitted };
  Kind kind = Kind::list_expired;
  Millis list_age{0};              // before the event
  std::string host;                // of host_withheld and host_readmitted
  std::size_t withheld_hosts = 0;  // of list_expired and list_confirmed: how many got no work right before
};

class ReadinessMonitor {
 public:
  // All references must outlive it.
  ReadinessMonitor(ConnectionServices& services, ConnectionSelector& selector,
                   std::map<std::string, PooledHost>& hosts);
  ~ReadinessMonitor() { services_.loop.cancel(timer_); }
  ReadinessMonitor(const ReadinessMonitor&) = delete;
  ReadinessMonitor& operator=(const ReadinessMonitor&) = delete;

  using EventHandler = std::function<void(const ReadinessEvent&)>;
  void observe(EventHandler on_event) { on_event_ = std::move(on_event); }

  void set_terms(const ReadinessTerms& terms);
  // Everything that was published before `at` is known, from discovery or from the configuration.
  void confirm_list(Millis at);
  void confirm_configured_list(Millis at) { rules_.confirm_configured_list(at); }
  Millis list_age() const { return rules_.list_age(services_.loop.now()); }
  bool is_list_current() const { return rules_.is_list_current(services_.loop.now()); }

  // Whether may_choose() holds for every host that is listed as ready. Cheap: it is asked for each host of
  // each call.
  bool trusts_all_hosts() const {
    return distrusted_ == 0 && rules_.is_list_current(services_.loop.iteration_started());
  }
  // Whether the host can be sent new work now, after a health check if need be.
  bool may_choose(const PooledHost& host) const;
  // Right before a write over this connection.
  ReadinessVerdict judge(const PooledHost& host, const HostConnection& connection) const;
  ReadinessVerdict judge(const PooledHost& host) const;

  // The host has answered a call that was sent at `sent_at` over the connection.
  void on_call_answered(PooledHost& host, const HostConnection& connection, Millis sent_at,
                        core::Outcome outcome);
  // A health check has ended: `ok` if the host is healthy, `error` if it says that it is not. If its
  // connection was lost, nothing is known.
  void on_checked(PooledHost& host, const HostConnection& connection, Millis sent_at, core::Outcome outcome);
  // Whether the connection is kept open though it is idle: it may be all that proves which process is there.
  bool keeps_when_idle(const PooledHost& host, const HostConnection& connection) const;

  // Prints a line for each host that gets no new work for a reason of its own; at most `max_lines`.
  void print_withheld(std::ostream& out, std::size_t max_lines) const;

 private:
  ConnectionServices& services_;
  ConnectionSelector& selector_;
  std::map<std::string, PooledHost>& hosts_;
  ReadinessRules rules_;
  EventHandler on_event_;
  bool list_expired_ = false;   // as reported last
  std::size_t distrusted_ = 0;  // hosts that are declared draining or unresponsive, as counted last
  net::EventLoop::TimerId timer_{};

  void schedule_step();
  void step();
  void report(ReadinessEvent::Kind kind, const std::string& host = {});
  bool accepts_proof(const PooledHost& host, const HostConnection& connection) const;
  bool has_known_connection(const PooledHost& host) const;
  std::size_t count_withheld() const;
  void count_distrusted();
  void recheck_distrusted();
  void open_standby_connections();
  bool open_connection(PooledHost& host);
};

}  // namespace lotusyard::hosts
