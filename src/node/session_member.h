// An invoker that is no member of the group: it has a session with a control node, which gives it the
// group's records and a lease, and is held to them as a member is held to the log.
#pragma once

#include <optional>
#include <string>

#include "app/app.h"
#include "compliance/enforcer.h"
#include "control/config.h"
#include "control/session_client.h"
#include "node/settled.h"
#include "works/host_use.h"

namespace lotusyard::node {

class SessionMember final : public Companion, private robinfold::Gate {
 public:
  SessionMember(const Wiring& wiring, const control::InvokerConfig& config);
  ~SessionMember() override;

  bool ready() const override { return client_.session().ever_held() && !failed_; }
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) override;
  robinfold::Gate* gate() override { return this; }
  bool open(const std::string& tenant, std::uint64_t function, const std::string& host) override;
  void refused(const core::Call& call) override { enforcer_.refused(call); }
  void before_writes() override;
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) override;
  std::optional<console::Said> asked(const console::Request& request) override;

 private:
  Wiring wiring_;
  const control::InvokerConfig config_;
  works::Board board_;
  compliance::Book book_;
  works::HostUse host_use_;
  compliance::Enforcer enforcer_;
  SettledTracker settled_;
  control::SessionClient client_;
  net::Loop::TimerId reports_{}, lease_ends_{};
  works::Millis armed_for_{0};  // the end of the lease at which `lease_ends_` rings
  std::string told_view_;
  std::optional<double> told_share_;
  bool failed_ = false, held_back_ = true;

  works::Millis now() const { return wiring_.loop.now(); }
  bool leased() const { return !failed_ && client_.session().holds(now()); }
  works::Knowledge knowledge() const;
  void replicate();
  void follow();
  void report();
  void report_view();
  void take_share();
  void fail(const std::string& why);
  void note(const std::string& part, const std::string& text) const;
  nlohmann::json shown() const;
};

}  // namespace lotusyard::node
