#include "app/invoker.h"

#include <iostream>

#include "app/resource_limits.h"
#include "metrics/call_counters.h"

namespace lotusyard {
namespace {

using core::Millis;
using hot_restart::ProcessRole;

// A host that is disabled by hand in one process must be disabled in the other one within 1 s.
constexpr Millis kSharedStatePollInterval{200};

// Returns the folder that the processes of one invoker share; empty if it is not needed or not possible.
std::string state_folder_for(const config::Config& config) {
  const std::string base = environment("TMPDIR");
  const bool needed = !config.console.empty() || config.listen_fd >= 0;
  if (!needed || base.empty())
    return {};
  return base + "/lotusyard." + endpoints::DisabledHostFiles::file_name(config.name);
}

std::size_t block_count(const hot_restart::ResourceShares& shares) {
  return shares.unwritten / net::BufferPool::kBlockSize;
}

std::string comma_separated(const std::vector<std::string>& words) {
  std::string joined;
  for (const auto& word : words)
    joined += (joined.empty() ? "" : ", ") + word;
  return joined;
}

}  // namespace

Invoker::Invoker(std::string configuration_file, const ResultStoreFactory& make_store,
                 const ExtensionFactory& make_extension)
    : signals_(loop_),
      configuration_(std::move(configuration_file)),
      state_folder_(state_folder_for(config())),
      presence_(shares_listener() ? state_folder_ : std::string()),
      role_(presence_.other_is_alive() ? ProcessRole::concurrent : ProcessRole::sole),
      pool_(block_count(resource_shares())),
      host_connections_(loop_, pool_, counters_, host_limits(config(), resource_shares())),
      dispatcher_(
          policy_settings(config().settings, resource_shares()), [this] { return loop_.now(); },
          host_connections_, counters_),
      disabled_host_files_(state_folder_),
      endpoint_states_(
          [this](const core::HostListUpdate& list, core::ListKind kind) { update_endpoints(list, kind); },
          [this] {
            return endpoints::EndpointStates::ClockReading{loop_.now(), loop_.wall_has_stepped()};
          }),
      front_(loop_, pool_, dispatcher_, counters_, client_limits(resource_shares())),
      shutdown_(shares_listener() ? ListenerOwnership::shared : ListenerOwnership::own) {
  loop_.count_errors([this](const metrics::Counter& counter) { counters_.add(counter); });
  host_connections_.attach(dispatcher_);
  // Both before any host is known: no call may go to a host that is disabled, or that the extension excludes.
  if (!state_folder_.empty())
    poll_shared_state();
  watch_readiness();
  attach_extension(make_extension);
  watch_endpoint_list();
  listen();
  start_amqp_consumer(make_store);
  open_admin_endpoint();
}

Invoker::~Invoker() {
  loop_.cancel(poll_timer_);
  // These refer to the extension, which is destroyed first.
  host_connections_.set_send_filter({});
  host_connections_.readiness_monitor().observe({});
  dispatcher_.observe_attempts({});
  dispatcher_.observe_rejections({});
  dispatcher_.set_host_filter(nullptr);
}

void Invoker::run() {
  bool exits = false;
  while (!exits) {
    loop_.run_once(next_wake_up(), [this] {
      dispatcher_.tick();
      if (extension_)
        extension_->before_writes();
    });
    handle_signals();
    exits = shutdown_.has_begun() && run_shutdown_iteration();
  }
  if (triggers_)
    triggers_->close();
  loop_.run_once(loop_.now(), [] {});  // writes what closing has queued
  print_counters();
}

void Invoker::handle_signals() {
  if (signals_.print_requested())
    print_counters();
  if (signals_.reload_requested())
    reload_configuration();
  if (signals_.terminate_requested() && !shutdown_.has_begun())
    begin_shutdown();
}

hot_restart::ResourceShares Invoker::resource_shares() const {
  return hot_restart::shares_of(config().memory_mb, config().sockets, role_);
}

void Invoker::update_endpoints(const core::HostListUpdate& list, core::ListKind kind) {
  // First the addresses: the dispatcher may send calls to these hosts at once.
  host_connections_.update_endpoints(list);
  core::HostList entries{kind, {}};
  for (const auto& host : list.hosts)
    entries.entries.push_back(host.entry);
  dispatcher_.update_endpoints(std::move(entries));
}

void Invoker::set_quota(double quota) {
  core::Settings next = dispatcher_.settings();
  next.slow_start.quota = quota;
  dispatcher_.apply_settings(next);
}

void Invoker::poll_shared_state() {
  if (const auto disabled = disabled_host_files_.read()) {
    endpoint_states_.set_disabled(*disabled, loop_.now());
  } else {
    counters_.add(metrics::kMembershipNotRead);  // what was read before stays in force
  }
  if (presence_.is_announced()) {
    const ProcessRole beside_other = shutdown_.has_begun() ? ProcessRole::draining : ProcessRole::concurrent;
    set_role(presence_.other_is_alive() ? beside_other : ProcessRole::sole);
  }
  poll_timer_ = loop_.schedule_at(loop_.now() + kSharedStatePollInterval, [this] { poll_shared_state(); });
}

void Invoker::set_role(ProcessRole role) {
  if (role == role_)
    return;
  role_ = role;
  const auto shares = resource_shares();
  pool_.set_max_blocks(block_count(shares));
  host_connections_.set_limits(host_limits(config(), shares));
  front_.set_limits(client_limits(shares));
  dispatcher_.apply_settings(policy_settings(dispatcher_.settings(), shares));
  counters_.add(metrics::kTakeoverChanges);
}

void Invoker::reload_configuration() {
  try {
    ReloadableConfiguration::Replacement replacement = configuration_.read_replacement();
    move_endpoint_source(*replacement.config);
    apply_configuration(std::move(replacement));
    counters_.add(metrics::kConfigReread);
  } catch (const std::exception& fault) {
    counters_.add(metrics::kConfigFaulty);
    std::cerr << "lotusyard: " << fault.what() << std::endl;
  }
}

void Invoker::move_endpoint_source(const config::Config& next) {
  std::string fault;
  if (host_file_ && !host_file_->move(next.xds->file, next.xds->cluster, fault))
    throw config::ConfigError("configuration: xds.file: " + fault);
  if (discovery_)
    discovery_->move(next.changelog);
}

void Invoker::apply_configuration(ReloadableConfiguration::Replacement replacement) {
  // The extension sets the quota, not the file.
  replacement.config->settings.slow_start.quota = dispatcher_.settings().slow_start.quota;
  const auto keys_for_next_start = configuration_.apply(std::move(replacement));
  if (!keys_for_next_start.empty()) {
    std::cerr << "lotusyard: hold from the next start: " << comma_separated(keys_for_next_start) << std::endl;
  }
  host_connections_.set_limits(host_limits(config(), resource_shares()));
  host_connections_.readiness_monitor().set_terms(readiness_terms());
  dispatcher_.apply_settings(policy_settings(config().settings, resource_shares()));
  if (triggers_)
    triggers_->apply_settings(config().settings);
}

}  // namespace lotusyard
