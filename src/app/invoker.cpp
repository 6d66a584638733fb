#include "app/invoker.h"

#include <algorithm>
#include <iostream>

#include "app/bounds.h"
#include "config/replacement.h"
#include "metrics/call_counters.h"

namespace lotusyard {
namespace {

using core::Millis;
using hot_restart::ProcessRole;

constexpr Millis kLookPace{200};  // what one process is told by hand holds for the other well within 1 s

nlohmann::json read_file(const std::string& file) {
  if (file.empty())
    throw config::ConfigError("configuration: BALANCER_CONFIG: not set, and no file was named");
  return config::read_json_file(file);
}
std::shared_ptr<config::Config> read(const nlohmann::json& file) {
  return std::make_shared<config::Config>(config::read_config(file, read_environment()));
}

// What a running program cannot change stays as it was at the start; the names of what differs.
std::string retain_startup_settings(const config::Config& now, config::Config& next) {
  std::string differs;
  const auto keep = [&differs](const char* name, const auto& from, auto& to) {
    if (from == to)
      return;
    differs += (differs.empty() ? "" : ", ") + std::string(name);
    to = from;
  };
  keep("name", now.name, next.name);
  keep("listen", now.listen, next.listen);
  keep("console", now.console, next.console);
  keep("limits.memory_mb", now.memory_mb, next.memory_mb);
  keep("limits.sockets", now.sockets, next.sockets);
  next.seed = now.seed;  // it tells of a start; where the file has none each reading makes one up
  next.settings.seed = now.settings.seed;
  next.amqp = now.amqp;
  return differs;
}

std::string folder_of(const config::Config& config) {
  const std::string base = environment("TMPDIR");
  const bool needed = !config.console.empty() || config.listen_fd >= 0;
  if (!needed || base.empty())
    return {};
  return base + "/lotusyard." + endpoints::DisabledHostFiles::file_name(config.name);
}

}  // namespace

Invoker::Invoker(std::string file, const ResultStoreFactory& make_store,
                 const ExtensionFactory& make_extension)
    : file_(std::move(file)),
      signals_(loop_),  // first: no signal may end the program while it starts
      replaceable_keys_(read_file(file_)),
      config_(read(replaceable_keys_)),
      state_folder_(folder_of(*config_)),
      presence_(replaces() ? state_folder_ : std::string()),
      role_(presence_.other_lives() ? ProcessRole::concurrent : ProcessRole::sole),
      pool_(resource_shares().unwritten / net::BufferPool::block_size),
      host_connections_(loop_, pool_, counters_, host_limits(*config_, resource_shares())),
      dispatcher_(
          config_->settings, [this] { return loop_.now(); }, host_connections_, counters_),
      disabled_host_files_(state_folder_),
      endpoint_states_(
          [this](const core::HostListUpdate& list, core::ListKind kind) {
            host_connections_.update_endpoints(
                list);  // first: what the module sends next needs the addresses
            core::HostList entries{kind, {}};
            for (const auto& member : list.hosts)
              entries.entries.push_back(member.entry);
            dispatcher_.update_endpoints(std::move(entries));
          },
          [this] {
            return endpoints::EndpointStates::ClockReading{loop_.now(), loop_.wall_has_stepped()};
          }),
      front_(loop_, pool_, dispatcher_, counters_, front_limits()) {
  loop_.count_errors([this](const metrics::Counter& counter) { counters_.add(counter); });
  host_connections_.attach(dispatcher_);
  replaceable_keys_ = config::outline(std::move(replaceable_keys_));
  if (!state_folder_.empty())
    poll_shared_state();             // before any host is named: none may be used that is out
  attach_extension(make_extension);  // before any host is named, too
  watch_endpoint_list();
  listen();
  start_amqp_consumer(make_store);
  open_admin_endpoint();
}

Invoker::~Invoker() {
  loop_.cancel(poll_timer_);
  host_connections_.set_send_filter({});
  dispatcher_.observe_attempts({});
  dispatcher_.observe_rejections({});
  dispatcher_.set_host_filter(nullptr);
}

hot_restart::ResourceShares Invoker::resource_shares() const {
  return hot_restart::shares_of(config_->memory_mb, config_->sockets, role_);
}

resp::FrontEnd::Limits Invoker::front_limits() const {
  const auto mine = resource_shares();
  resp::FrontEnd::Limits out;
  out.clients = mine.clients;
  out.new_connections = mine.new_connections;
  out.body_bytes = mine.bodies;
  out.unread_bytes = mine.unwritten / 2;
  return out;
}

void Invoker::watch_endpoint_list() {
  discovery::Log log;
  for (const auto& event : config_->known_events) {
    core::HostListUpdate list;
    if (log.event(event, list) != discovery::Log::Read::news)
      continue;
    endpoint_states_.apply_list(list, list.complete ? core::ListKind::cached : core::ListKind::delta);
  }
  log.skip_to(config_->known_seq);
  const auto on_update = [this](const core::HostListUpdate& list) {
    endpoint_states_.apply_list(list, list.complete ? core::ListKind::full : core::ListKind::delta);
  };
  if (config_->xds) {
    const auto& xds = *config_->xds;
    host_file_.emplace(loop_, counters_, xds.file, xds.cluster, xds.reread, on_update);
    std::string fault;
    if (!host_file_->start(fault))
      throw config::ConfigError("configuration: xds.file: " + fault);
  } else {
    discovery_.emplace(loop_, pool_, counters_, config_->changelog, log, on_update);
    discovery_->start();
  }
}

void Invoker::listen() {
  if (config_->listen.empty())
    return;
  if (replaces()) {
    front_.listen(net::adopt_listener(config_->listen_fd));
    if (!front_.listening()) {
      throw config::ConfigError("configuration: BALANCER_LISTEN_FD: descriptor " +
                                std::to_string(config_->listen_fd) + " is no listening TCP socket");
    }
  } else if (!front_.listen(config_->listen)) {
    throw config::ConfigError("configuration: listen: cannot listen on " + config_->listen);
  }
  std::cout << "lotusyard " << config_->name << " listens on " << config_->listen << std::endl;
}

void Invoker::attach_extension(const ExtensionFactory& make_extension) {
  if (!make_extension)
    return;
  const auto settings = [this]() -> const core::Settings& { return dispatcher_.settings(); };
  const auto share = [this](double part) {
    core::Settings next = dispatcher_.settings();
    next.slow_start.quota = part;
    dispatcher_.apply_settings(next);
  };
  extension_ =
      make_extension({loop_, counters_, endpoint_states_, host_connections_, settings, share, config_->name},
                     read_file(file_));
  if (!extension_)
    return;
  dispatcher_.set_host_filter(host_connections_.host_filter(extension_->host_filter()));
  dispatcher_.observe_rejections([this](const core::Call& call) { extension_->on_rejected(call); });
  host_connections_.set_send_filter(
      [this](const std::string& host, const core::Call* call, std::uint64_t function) {
        return extension_->may_send(host, call, function);
      });
  dispatcher_.observe_attempts(
      [this](const std::string& host, const core::Call& call, core::Outcome outcome) {
        extension_->attempt_ended(host, call, outcome);
      });
}

void Invoker::start_amqp_consumer(const ResultStoreFactory& make_store) {
  if (!config_->amqp)
    return;
  const auto& amqp = *config_->amqp;
  if (!amqp.store.empty()) {
    if (!make_store)
      throw config::ConfigError("configuration: amqp.store: this program keeps none; lotusyard_cluster does");
    store_ = make_store(amqp, loop_.now(), counters_);
  }
  triggers_.emplace(
      loop_, pool_, dispatcher_, counters_, config_->settings, broker_of(amqp),
      amqp::FrontEnd::Limits{amqp.open_calls, amqp.remembered, amqp.remembered_mb << 20, amqp.sole_consumer},
      store_.get());
  triggers_->start();
  std::cout << "lotusyard " << config_->name << " takes triggers from " << amqp.brokers.front() << std::endl;
}

void Invoker::poll_shared_state() {
  if (const auto out = disabled_host_files_.read()) {
    endpoint_states_.set_disabled(*out, loop_.now());
  } else {
    counters_.add(metrics::kMembershipNotRead);  // what was known holds
  }
  const ProcessRole other = is_shutting_down() ? ProcessRole::draining : ProcessRole::concurrent;
  if (presence_.known())
    set_role(presence_.other_lives() ? other : ProcessRole::sole);
  poll_timer_ = loop_.schedule_at(loop_.now() + kLookPace, [this] { poll_shared_state(); });
}

void Invoker::set_role(ProcessRole standing) {
  if (standing == role_)
    return;
  role_ = standing;
  const auto mine = resource_shares();
  pool_.set_max_blocks(mine.unwritten / net::BufferPool::block_size);
  host_connections_.set_limits(host_limits(*config_, mine));
  front_.set_limits(front_limits());
  counters_.add(metrics::kTakeoverChanges);
}

// The file is read whole and checked, and only then taken, whole. A fault leaves everything as it is.
void Invoker::reload_configuration() {
  try {
    const auto file = read_file(file_);
    config::check_replacement(replaceable_keys_, file);
    const auto next = read(file);
    if (next->xds.has_value() != config_->xds.has_value())
      throw config::ConfigError("configuration: xds: can be added or removed at a start only");
    std::string fault;
    if (host_file_ && !host_file_->move(next->xds->file, next->xds->cluster, fault))
      throw config::ConfigError("configuration: xds.file: " + fault);
    if (discovery_)
      discovery_->move(next->changelog);
    const std::string differs = retain_startup_settings(*config_, *next);
    if (!differs.empty())
      std::cerr << "lotusyard: hold from the next start: " << differs << std::endl;
    config_ = next;
    replaceable_keys_ = config::outline(file);
    host_connections_.set_limits(host_limits(*config_, resource_shares()));
    next->settings.slow_start.quota = dispatcher_.settings().slow_start.quota;
    dispatcher_.apply_settings(next->settings);
    if (triggers_)
      triggers_->apply_settings(next->settings);
    counters_.add(metrics::kConfigReread);
  } catch (const std::exception& fault) {
    counters_.add(metrics::kConfigFaulty);  // the old one goes on
    std::cerr << "lotusyard: " << fault.what() << std::endl;
  }
}

}  // namespace lotusyard
