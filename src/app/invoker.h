// One invoker process: creates its parts, connects them, and runs the event loop until it has shut down.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "admin/admin_endpoint.h"
#include "amqp/front_end.h"
#include "app/app.h"
#include "app/configuration_reload.h"
#include "app/graceful_shutdown.h"
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
#include "xds/host_file.h"

namespace lotusyard {

class Invoker final : private admin::AdminOperations {
 public:
  // Reads the configuration file and starts all parts. Throws config::ConfigError if the configuration is
  // faulty or cannot be followed, and another exception if a resource is lacking.
  Invoker(std::string configuration_file, const ResultStoreFactory& make_store,
          const ExtensionFactory& make_extension);
  ~Invoker() override;

  // Serves until SIGTERM or SIGINT has come and the graceful shutdown is complete, then prints the counters.
  void run();

 private:
  // In the order of construction: each part uses those above it.
  net::EventLoop loop_;
  Signals signals_;  // before the configuration is read: no signal may kill the process while it starts
  ReloadableConfiguration configuration_;
  const std::string state_folder_;  // shared by the processes of this invoker; empty: there is none
  metrics::Counters counters_;
  hot_restart::Presence presence_;
  hot_restart::ProcessRole role_;
  net::BufferPool pool_;  // for what waits to be written to clients and hosts
  hosts::HostConnectionPool host_connections_;
  core::Dispatcher dispatcher_;
  endpoints::DisabledHostFiles disabled_host_files_;  // in state_folder_
  endpoints::EndpointStates endpoint_states_;
  std::optional<discovery::Discovery> discovery_;  // the endpoint list comes from the change log,
  std::optional<xds::HostFile> host_file_;         // or from a file; one of the two is set
  resp::FrontEnd front_;
  std::unique_ptr<idempotency::ResultStore> store_;  // null: results are kept in memory only
  std::optional<amqp::FrontEnd> triggers_;
  std::unique_ptr<InvokerExtension> extension_;  // may be null
  std::optional<admin::AdminEndpoint> admin_endpoint_;
  net::EventLoop::TimerId poll_timer_{};  // of poll_shared_state()
  GracefulShutdown shutdown_;

  const config::Config& config() const { return configuration_.current(); }
  // Whether the listener is inherited, so that another process of this invoker may have it, too.
  bool shares_listener() const { return config().listen_fd >= 0; }
  hot_restart::ResourceShares resource_shares() const;

  // The start, in invoker_startup.cpp.
  void attach_extension(const ExtensionFactory& make_extension);
  void watch_endpoint_list();
  discovery::EventReader replay_known_events();
  void watch_host_file();
  void watch_change_log(const discovery::EventReader& log);
  void listen();
  void listen_on_inherited();
  void start_amqp_consumer(const ResultStoreFactory& make_store);

  void update_endpoints(const core::HostListUpdate& list, core::ListKind kind);

  // The age of the endpoint list, in invoker_readiness.cpp.
  void watch_readiness();
  hosts::ReadinessTerms readiness_terms() const;
  void log_readiness(const hosts::ReadinessEvent& event);
  void on_rejected(const core::Call& call);
  void print_counters();

  void set_quota(double quota);

  // Reads what other processes of this invoker have changed: hosts disabled by hand, and which processes
  // live.
  void poll_shared_state();
  void set_role(hot_restart::ProcessRole role);

  void handle_signals();
  // Replaces the configuration, or reports why it cannot be replaced and keeps the old one.
  void reload_configuration();
  void move_endpoint_source(const config::Config& next);
  void apply_configuration(ReloadableConfiguration::Replacement replacement);

  // The graceful shutdown, in invoker_shutdown.cpp.
  core::Millis next_wake_up() const;
  void begin_shutdown();
  bool run_shutdown_iteration();  // true once the process may exit
  void observe(ShutdownFacts& facts) const;
  void execute(ShutdownCommand command, ShutdownFacts& facts);

  // The admin endpoint, in invoker_admin_endpoint.cpp.
  void open_admin_endpoint();
  bool ready() const override;
  admin::OperationResult disable(const std::string& host) override;
  admin::OperationResult enable(const std::string& host) override;
  std::optional<admin::Response> handle_request(const admin::Request& request) override;
};

}  // namespace lotusyard
