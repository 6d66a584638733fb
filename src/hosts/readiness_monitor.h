// Tracks which hosts are known to take new work, and keeps connections to some of them open while the
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

// An event for the log. Reported once for each change of state, not for each call.
struct ReadinessEvent {
  enum class Kind { list_expired, list_confirmed, host_withheld, host_readmitted };
  Kind kind = Kind::list_expired;
  Millis list_age{0};              // before the event
  std::string host;                // of host_withheld and host_readmitted
  std::size_t withheld_hosts = 0;  // of list_expired and list_confirmed: hosts without new work before it
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
  // The list holds everything that was published before `at`: by discovery, or up to a configuration.
  void confirm_list(Millis at);
  void confirm_configured_list(Millis at) { rules_.confirm_configured_list(at); }
  Millis list_age() const { return rules_.list_age(services_.loop.now()); }
  bool is_list_current() const { return rules_.is_list_current(services_.loop.now()); }

  // Whether may_choose() holds for every host that is listed as ready. Cheap, because it is called for each
  // host of each call.
  bool may_choose_all() const {
    return unavailable_hosts_ == 0 && rules_.is_list_current(services_.loop.iteration_started());
  }
  // Whether the host can be sent new work now, if necessary after a health check.
  bool may_choose(const PooledHost& host) const;
  // Evaluates the host immediately before a write over this connection.
  ReadinessResult evaluate(const PooledHost& host, const HostConnection& connection) const;
  ReadinessResult evaluate(const PooledHost& host) const;

  // The host has answered a call that was sent at `sent_at` over the connection.
  void on_call_answered(PooledHost& host, const HostConnection& connection, Millis sent_at,
                        core::Outcome outcome);
  // A health check has ended: `ok` if the host is healthy, `error` if it reports that it is not, `timeout` if
  // it did not answer. Any other outcome, such as a lost connection, shows nothing about the host.
  void on_checked(PooledHost& host, const HostConnection& connection, Millis sent_at, core::Outcome outcome);
  // Whether the connection is kept open although it is idle, because only it proves which process is at the
  // host's address.
  bool keeps_when_idle(const PooledHost& host, const HostConnection& connection) const;

  // Prints a line for each host that gets no new work, with the reason; at most `max_lines`.
  void print_withheld(std::ostream& out, std::size_t max_lines) const;

 private:
  ConnectionServices& services_;
  ConnectionSelector& selector_;
  std::map<std::string, PooledHost>& hosts_;
  ReadinessRules rules_;
  EventHandler on_event_;
  bool list_expired_ = false;          // as reported last
  std::size_t unavailable_hosts_ = 0;  // declared draining or unresponsive, as counted last
  net::EventLoop::TimerId timer_{};

  void schedule_step();
  void step();
  void report(ReadinessEvent::Kind kind, const std::string& host = {});
  bool accepts_proof(const PooledHost& host, const HostConnection& connection) const;
  bool has_known_connection(const PooledHost& host) const;
  std::size_t count_withheld() const;
  void count_unavailable();
  void recheck_draining();
  void open_standby_connections();
  bool open_connection(PooledHost& host);
};

}  // namespace lotusyard::hosts
