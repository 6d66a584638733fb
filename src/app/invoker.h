// One invoker: its parts, wired together, from its start to its end.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "admin/admin_endpoint.h"
#include "amqp/front_end.h"
#include "app/app.h"
#include "app/signals.h"
#include "config/config.h"
#include "core/dispatcher.h"
#include "discovery/discovery.h"
#include "endpoints/disabled_host_files.h"
#include "endpoints/endpoint_states.h"
#include "hosts/connection_pool.h"
#include "hot_restart/presence.h"
#include "hot_restart/shares.h"
#include "net/event_loop.h"
#include "resp/front_end.h"
#include "xds/hosts.h"

namespace lotusyard {

class Invoker final : private admin::AdminOperations {
 public:
  Invoker(std::string file, const ResultStoreFactory& make_store, const ExtensionFactory& make_extension);
  ~Invoker() override;
  void run();  // until it has been told to end, and has

 private:
  const std::string file_;
  net::EventLoop loop_;
  Signals signals_;
  nlohmann::json replaceable_keys_;  // of the file that is followed
  std::shared_ptr<const config::Config> config_;
  const std::string state_folder_;  // what outlives this process; empty: nothing does
  metrics::Counters counters_;
  hot_restart::Presence presence_;
  hot_restart::ProcessRole role_;
  net::BufferPool pool_;
  hosts::HostConnectionPool host_connections_;
  core::Dispatcher dispatcher_;
  endpoints::DisabledHostFiles disabled_host_files_;
  endpoints::EndpointStates endpoint_states_;
  std::optional<discovery::Discovery> discovery_;
  std::optional<xds::HostFile> host_file_;
  resp::FrontEnd front_;
  std::unique_ptr<idempotency::ResultStore> store_;
  std::optional<amqp::FrontEnd> triggers_;
  std::unique_ptr<InvokerExtension> extension_;
  std::optional<admin::AdminEndpoint> admin_endpoint_;
  net::EventLoop::TimerId poll_timer_{};
  core::Millis shutdown_started_at_{0};

  bool replaces() const { return config_->listen_fd >= 0; }  // processes take turns at one listener
  bool is_shutting_down() const { return shutdown_started_at_.count() > 0; }
  hot_restart::ResourceShares resource_shares() const;
  resp::FrontEnd::Limits front_limits() const;
  void watch_endpoint_list();
  void listen();
  void attach_extension(const ExtensionFactory& make_extension);
  void open_admin_endpoint();
  void start_amqp_consumer(const ResultStoreFactory& make_store);
  void poll_shared_state();  // at what another process of this invoker has done
  void set_role(hot_restart::ProcessRole standing);
  void reload_configuration();
  void begin_shutdown();
  bool shutdown_complete();

  bool ready() const override;
  admin::OperationResult disable(const std::string& host) override;
  admin::OperationResult enable(const std::string& host) override;
  std::optional<admin::Response> handle_request(const admin::Request& request) override;
};

}  // namespace lotusyard
