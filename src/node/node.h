// The parts of one member of a group, joined: they share its log, its links and its lease, and are the
// invoker's companion together.
#pragma once

#include <memory>
#include <optional>

#include "app/app.h"
#include "compliance/officer.h"
#include "group/member.h"
#include "node/control_role.h"
#include "shares/sharing.h"
#include "view/viewer.h"
#include "works/coordinator.h"

namespace lotusyard::node {

class Node final : public Companion, private robinfold::Gate {
 public:
  // `control`: this member is a control node, too.
  Node(const Wiring& wiring, const group::Config& config, const std::optional<control::NodeConfig>& control);

  bool ready() const override { return coordinator_.ready(); }
  bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) override;
  robinfold::Gate* gate() override { return this; }
  bool open(const std::string& tenant, std::uint64_t function, const std::string& host) override;
  void refused(const core::Call& call) override { officer_.enforcer().refused(call); }
  void drain() override;
  void before_writes() override { coordinator_.before_writes(); }
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) override;
  std::optional<console::Said> asked(const console::Request& request) override;

 private:
  Wiring wiring_;
  const group::Config config_;
  group::Lease lease_;
  bool built_ = false;
  works::Coordinator coordinator_;
  shares::Sharing sharing_;
  compliance::Officer officer_;
  group::Member member_;  // it calls the parts from its construction on
  std::optional<view::Viewer> viewer_;
  std::optional<ControlRole> control_;

  void follow();
  Wiring sharing_wiring();

  void note(const std::string& part, const std::string& text) const;
  nlohmann::json show_group() const;
};

// For lotusyard_full: a member where the file has a part `group`, an invoker with a session where it has only
// a part `control`, else nothing.
std::unique_ptr<Companion> make_node(const Wiring& wiring, const nlohmann::json& file);

}  // namespace lotusyard::node
