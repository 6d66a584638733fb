// What makes a member of the group a control node: it serves sessions of invokers that are no members, passes
// the group's records on to them, and speaks for all of them in its own sign of life.
#pragma once

#include <functional>
#include <string>

#include "app/app.h"
#include "compliance/officer.h"
#include "control/allotment.h"
#include "control/config.h"
#include "control/node_server.h"
#include "group/member.h"
#include "node/session_views.h"
#include "shares/sharing.h"
#include "works/coordinator.h"

namespace lotusyard::node {

class ControlRole final : public group::Member::Observer {
 public:
  using Note = std::function<void(const std::string& text)>;
  // All that it is given outlives it. Throws config::ConfigError if it cannot listen.
  ControlRole(const Wiring& wiring, const group::Config& group, const control::NodeConfig& config,
              group::Member& member, works::Coordinator& coordinator, compliance::Officer& officer,
              const group::Lease& lease, Note note);
  ~ControlRole() override;

  // From the member: an entry of the log has been applied, or the whole state was replaced.
  void log_applied(std::uint64_t index) override;
  void log_restored() override { renewed_ = true; }

  void follow();                            // the lease may have come or gone
  void set_share(double share);             // this node's part of a cold host's budget
  void leave() { server_.node().leave(); }  // the process ends
  nlohmann::json shown() const;

 private:
  Wiring wiring_;
  works::Coordinator& coordinator_;
  compliance::Officer& officer_;
  const group::Lease& lease_;
  Note note_;
  control::NodeServer server_;
  SessionViews views_;
  control::Allotment allotment_;
  control::Records records_;
  std::uint64_t records_version_ = 0;
  bool renewed_ = true;  // the records are to be given anew, in whole
  bool shares_told_ = false;
  control::Floors floors_;

  works::Millis now() const { return wiring_.loop.now(); }
  std::uint64_t version() const { return coordinator_.changes() + officer_.changes(); }
  works::Coordinator::Represented represented();
  void forwarded(control::SessionTable::SessionId session, const control::Forward& forward);
  std::optional<double> share_of(control::SessionTable::SessionId session, works::Millis lease_until);
};

}  // namespace lotusyard::node
