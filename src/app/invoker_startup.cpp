// The start of an invoker: its endpoint list, listener, broker and extension.
#include <iostream>

#include "app/invoker.h"
#include "app/resource_limits.h"

namespace lotusyard {
namespace {

// A list that holds all hosts replaces the one before; another one only changes it.
core::ListKind list_kind(const core::HostListUpdate& list, core::ListKind complete_kind) {
  return list.complete ? complete_kind : core::ListKind::delta;
}

}  // namespace

void Invoker::attach_extension(const ExtensionFactory& make_extension) {
  if (!make_extension)
    return;
  const auto settings = [this]() -> const core::Settings& { return dispatcher_.settings(); };
  const InvokerServices services{loop_,
                                 counters_,
                                 endpoint_states_,
                                 host_connections_,
                                 settings,
                                 [this](double quota) { set_quota(quota); },
                                 config().name};
  extension_ = make_extension(services, read_configuration_file(configuration_.path()));
  if (!extension_)
    return;
  dispatcher_.set_host_filter(host_connections_.host_filter(extension_->host_filter()));
  host_connections_.set_send_filter(
      [this](const std::string& host, const core::Call* call, std::uint64_t function) {
        return extension_->may_send(host, call, function);
      });
  dispatcher_.observe_attempts(
      [this](const std::string& host, const core::Call& call, core::Outcome outcome) {
        extension_->attempt_ended(host, call, outcome);
      });
}

void Invoker::watch_endpoint_list() {
  const discovery::EventReader log = replay_known_events();
  if (config().xds) {
    watch_host_file();
  } else {
    watch_change_log(log);
  }
}

// The configuration may hold events of the change log, so that calls can be served before it answers.
discovery::EventReader Invoker::replay_known_events() {
  discovery::EventReader log;
  for (const auto& event : config().known_events) {
    core::HostListUpdate list;
    if (log.read_event(event, list) == discovery::EventReader::Result::list_update)
      endpoint_states_.apply_list(list, list_kind(list, core::ListKind::cached));
  }
  log.skip_to(config().known_seq);
  return log;
}

void Invoker::watch_host_file() {
  const config::XdsConfig& xds = *config().xds;
  host_file_.emplace(
      loop_, counters_, xds.file, xds.cluster, xds.reread,
      [this](const core::HostListUpdate& list) {
        endpoint_states_.apply_list(list, list_kind(list, core::ListKind::full));
      },
      [this](core::Millis at) { host_connections_.readiness_monitor().confirm_list(at); });
  std::string fault;
  if (!host_file_->start(fault))
    throw config::ConfigError("configuration: xds.file: " + fault);
}

void Invoker::watch_change_log(const discovery::EventReader& log) {
  discovery_.emplace(
      loop_, pool_, counters_, config().changelog, log,
      [this](const core::HostListUpdate& list) {
        endpoint_states_.apply_list(list, list_kind(list, core::ListKind::full));
      },
      [this](core::Millis at) { host_connections_.readiness_monitor().confirm_list(at); });
  discovery_->start();
}

void Invoker::listen() {
  if (config().listen.empty())
    return;
  if (shares_listener()) {
    listen_on_inherited();
  } else if (!front_.listen(config().listen)) {
    throw config::ConfigError("configuration: listen: cannot listen on " + config().listen);
  }
  std::cout << "lotusyard " << config().name << " listens on " << config().listen << std::endl;
}

void Invoker::listen_on_inherited() {
  front_.listen(net::adopt_listener(config().listen_fd));
  if (front_.listening())
    return;
  throw config::ConfigError("configuration: BALANCER_LISTEN_FD: descriptor " +
                            std::to_string(config().listen_fd) + " is no listening TCP socket");
}

void Invoker::start_amqp_consumer(const ResultStoreFactory& make_store) {
  if (!config().amqp)
    return;
  const config::AmqpConfig& amqp = *config().amqp;
  if (!amqp.store.empty()) {
    if (!make_store)
      throw config::ConfigError("configuration: amqp.store: this program keeps none; lotusyard_cluster does");
    store_ = make_store(amqp, loop_.now(), counters_);
  }
  triggers_.emplace(loop_, pool_, dispatcher_, counters_, config().settings, broker_settings(amqp),
                    trigger_limits(amqp), store_.get());
  triggers_->start();
  std::cout << "lotusyard " << config().name << " takes triggers from " << amqp.brokers.front() << std::endl;
}

}  // namespace lotusyard
