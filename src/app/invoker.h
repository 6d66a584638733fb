// One invoker: its parts, wired together, from its start to its end.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "amqp/front.h"
#include "app/app.h"
#include "app/signals.h"
#include "config/config.h"
#include "console/admin_endpoint.h"
#include "core/dispatcher.h"
#include "discovery/discovery.h"
#include "hosts/fleet.h"
#include "hot_restart/presence.h"
#include "hot_restart/shares.h"
#include "membership/membership.h"
#include "membership/out_files.h"
#include "net/loop.h"
#include "resp/front.h"
#include "xds/hosts.h"

namespace lotusyard {

class Invoker final : private console::Operations {
 public:
  Invoker(std::string file, const StoreMaker& make_store, const CompanionMaker& make_companion);
  ~Invoker() override;
  void run();  // until it has been told to end, and has

 private:
  const std::string file_;
  net::Loop loop_;
  Signals signals_;
  nlohmann::json outline_;  // of the file that is followed
  std::shared_ptr<const config::Config> config_;
  const std::string folder_;  // what outlives this process; empty: nothing does
  core::Counters counters_;
  hot_restart::Presence presence_;
  hot_restart::Standing standing_;
  net::BufferPool pool_;
  hosts::Fleet fleet_;
  core::Dispatcher dispatcher_;
  membership::OutFiles out_files_;
  membership::Membership membership_;
  std::optional<discovery::Discovery> discovery_;
  std::optional<xds::HostFile> host_file_;
  resp::Front front_;
  std::unique_ptr<answers::Store> store_;
  std::optional<amqp::Front> triggers_;
  std::unique_ptr<Companion> companion_;
  std::optional<console::AdminEndpoint> admin_endpoint_;
  net::Loop::TimerId look_{};
  core::Millis told_to_end_{0};

  bool replaces() const { return config_->listen_fd >= 0; }  // processes take turns at one listener
  bool ending() const { return told_to_end_.count() > 0; }
  hot_restart::Shares shares() const;
  resp::Front::Limits front_limits() const;
  void follow_list();
  void listen();
  void join_companion(const CompanionMaker& make_companion);
  void open_admin_endpoint();
  void take_triggers(const StoreMaker& make_store);
  void look();  // at what another process of this invoker has done
  void stand(hot_restart::Standing standing);
  void reread();
  void begin_end();
  bool ended();

  bool ready() const override;
  console::Done disable(const std::string& host) override;
  console::Done enable(const std::string& host) override;
  std::optional<console::Said> other(const console::Request& request) override;
};

}  // namespace lotusyard
