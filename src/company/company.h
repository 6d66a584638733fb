// The parts of one member of a group, joined: they share its log, its links and its lease, and are the
// invoker's companion together.
#pragma once

#include <memory>

#include "app/app.h"
#include "group/member.h"
#include "shares/sharing.h"
#include "view/viewer.h"
#include "works/crew.h"

namespace lotusyard::company {

class Company final : public Companion {
 public:
  Company(const Wiring& wiring, const group::Config& config);

  bool ready() const override { return crew_.ready(); }
  bool may_send(const std::string& host, const core::Call*, std::uint64_t) override {
    return crew_.may_send(host);
  }
  void drain() override {
    if (viewer_) viewer_->leave();
  }
  void before_writes() override { crew_.before_writes(); }
  void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) override;
  std::optional<console::Said> asked(const console::Request& request) override;

 private:
  Wiring wiring_;
  const group::Config config_;
  group::Lease lease_;
  bool built_ = false;
  works::Crew crew_;
  shares::Sharing sharing_;
  group::Member member_;  // it calls the parts from its construction on
  std::optional<view::Viewer> viewer_;

  void follow();

  void note(const std::string& part, const std::string& text) const;
  nlohmann::json show_group() const;
};

// For lotusyard_full: none where the file has no part `group`.
std::unique_ptr<Companion> make_company(const Wiring& wiring, const nlohmann::json& file);

}  // namespace lotusyard::company
