// An invoker that is not a member of the group. It has a session with a control node, from which it receives
// a lease and the group's records: a snapshot first, then deltas. It applies them as a member applies the
// log.
#pragma once

#include <optional>
#include <string>

#include "app/app.h"
#include "compliance/compliance_filter.h"
#include "control/config.h"
#include "control/session_client.h"
#include "maintenance/host_access.h"
#include "node/quiescence_tracker.h"

namespace lotusyard::node {

// Without a lease it calls no host that maintenance may select next; after the configured offline time
// without one it calls none at all.
class SessionInvoker final : public InvokerExtension, private policy::HostFilter {
 public:
  // Opens the session. The services must outlive the invoker.
  SessionInvoker(const InvokerServices& services, const control::InvokerConfig& config);
  ~SessionInvoker() override;

  // Whether it has held a lease and can read the records.
  bool ready() const override { return client_.session().has_held_lease() && !failed_; }
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) override;
  policy::HostFilter* host_filter() override { return this; }
  bool allows(const std::string& tenant, std::uint64_t function, const std::string& host) override;
  void on_rejected(const core::Call& call) override { compliance_filter_.on_rejected(call); }
  void before_writes() override;
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) override;
  std::optional<admin::Response> handle_request(const admin::Request& request) override;

 private:
  InvokerServices services_;
  const control::InvokerConfig config_;
  maintenance::MaintenanceState maintenance_;
  compliance::CertificateState certificates_;
  maintenance::HostAccess host_access_;
  compliance::ComplianceFilter compliance_filter_;
  QuiescenceTracker quiescence_;
  control::SessionClient client_;
  net::EventLoop::TimerId report_timer_{};
  net::EventLoop::TimerId lease_timer_{};
  maintenance::Millis lease_timer_due_{0};  // end of the lease for which the timer is set
  std::string last_sent_observations_;
  std::optional<double> applied_share_;
  bool failed_ = false;    // the records cannot be read
  bool suspended_ = true;  // no calls are made

  maintenance::Millis now() const { return services_.loop.now(); }
  bool is_leased() const { return !failed_ && client_.session().holds_lease(now()); }
  maintenance::StateFreshness freshness() const;
  void apply_records();
  void update_host_access();
  void update_after_lease_change();
  void schedule_lease_timer();
  bool is_free(const std::string& host) const;
  void send_report();
  void send_observations();
  void apply_share();
  void fail(const std::string& reason);
  void log_event(const std::string& component, const std::string& text) const;
  nlohmann::json avoided_hosts_to_json() const;
  nlohmann::json status_to_json() const;
};

}  // namespace lotusyard::node
