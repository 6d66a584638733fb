// An invoker that is no member of the group: it has a session with a control node, which gives it the
// group's records and a lease, and is held to them as a member is held to the log.
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

class SessionInvoker final : public InvokerExtension, private policy::HostFilter {
 public:
  SessionInvoker(const InvokerServices& wiring, const control::InvokerConfig& config);
  ~SessionInvoker() override;

  bool ready() const override { return client_.session().ever_held() && !failed_; }
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
  net::EventLoop::TimerId report_timer_{}, lease_timer_{};
  maintenance::Millis armed_for_{0};  // the end of the lease at which `lease_ends_` rings
  std::string last_sent_observations_;
  std::optional<double> applied_share_;
  bool failed_ = false, suspended_ = true;

  maintenance::Millis now() const { return services_.loop.now(); }
  bool is_leased() const { return !failed_ && client_.session().holds(now()); }
  maintenance::StateFreshness freshness() const;
  void replicate();
  void update_host_access();
  void send_report();
  void send_observations();
  void apply_share();
  void fail(const std::string& why);
  void log_event(const std::string& part, const std::string& text) const;
  nlohmann::json status_to_json() const;
};

}  // namespace lotusyard::node
