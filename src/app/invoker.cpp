#include "app/invoker.h"

#include <algorithm>
#include <iostream>

#include "app/bounds.h"
#include "config/replacement.h"

namespace lotusyard {
namespace {

using core::Millis;
using hot_restart::Standing;

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
std::string keep_what_needs_a_start(const config::Config& now, config::Config& next) {
  std::string differs;
  const auto keep = [&differs](const char* name, const auto& from, auto& to) {
    if (from == to) return;
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
  if (!needed || base.empty()) return {};
  return base + "/lotusyard." + membership::OutFiles::file_name(config.name);
}

}  // namespace

Invoker::Invoker(std::string file, const StoreMaker& make_store, const CompanionMaker& make_companion)
    : file_(std::move(file)),
      signals_(loop_),  // first: no signal may end the program while it starts
      outline_(read_file(file_)),
      config_(read(outline_)),
      folder_(folder_of(*config_)),
      presence_(replaces() ? folder_ : std::string()),
      standing_(presence_.other_lives() ? Standing::beside : Standing::alone),
      pool_(shares().unwritten / net::BufferPool::block_size),
      fleet_(loop_, pool_, counters_, host_limits(*config_, shares())),
      dispatcher_(
          config_->settings, [this] { return loop_.now(); }, fleet_, counters_),
      out_files_(folder_),
      membership_(
          [this](const core::MemberList& list, core::ListKind kind) {
            fleet_.members(list);  // first: what the module sends next needs the addresses
            core::HostList entries{kind, {}};
            for (const auto& member : list.members) entries.entries.push_back(member.entry);
            dispatcher_.members(std::move(entries));
          },
          [this] {
            return membership::Membership::Sight{loop_.now(), loop_.wall_has_stepped()};
          }),
      front_(loop_, pool_, dispatcher_, counters_, front_limits()) {
  loop_.count_errors([this](const char* name) { counters_.add(name); });
  fleet_.attach(dispatcher_);
  outline_ = config::outline(std::move(outline_));
  if (!folder_.empty()) look();    // before any host is named: none may be used that is out
  join_companion(make_companion);  // before any host is named, too
  follow_list();
  listen();
  take_triggers(make_store);
  open_admin_endpoint();
}

Invoker::~Invoker() {
  loop_.cancel(look_);
  fleet_.ask_before({});
  dispatcher_.watch({});
  dispatcher_.watch_refusals({});
  dispatcher_.guard(nullptr);
}

hot_restart::Shares Invoker::shares() const {
  return hot_restart::shares_of(config_->memory_mb, config_->sockets, standing_);
}

resp::Front::Limits Invoker::front_limits() const {
  const auto mine = shares();
  resp::Front::Limits out;
  out.clients = mine.clients;
  out.newcomers = mine.newcomers;
  out.body_bytes = mine.bodies;
  out.unread_bytes = mine.unwritten / 2;
  return out;
}

void Invoker::follow_list() {
  discovery::Log log;
  for (const auto& event : config_->known_events) {
    core::MemberList list;
    if (log.event(event, list) != discovery::Log::Read::news) continue;
    membership_.list(list, list.complete ? core::ListKind::cached : core::ListKind::delta);
  }
  log.skip_to(config_->known_seq);
  const auto told_later = [this](const core::MemberList& list) {
    membership_.list(list, list.complete ? core::ListKind::full : core::ListKind::delta);
  };
  if (config_->xds) {
    const auto& xds = *config_->xds;
    host_file_.emplace(loop_, counters_, xds.file, xds.cluster, xds.reread, told_later);
    std::string fault;
    if (!host_file_->start(fault)) throw config::ConfigError("configuration: xds.file: " + fault);
  } else {
    discovery_.emplace(loop_, pool_, counters_, config_->changelog, log, told_later);
    discovery_->start();
  }
}

void Invoker::listen() {
  if (config_->listen.empty()) return;
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

void Invoker::join_companion(const CompanionMaker& make_companion) {
  if (!make_companion) return;
  const auto settings = [this]() -> const core::Settings& { return dispatcher_.settings(); };
  const auto share = [this](double part) {
    core::Settings next = dispatcher_.settings();
    next.share = part;
    dispatcher_.retune(next);
  };
  companion_ = make_companion({loop_, counters_, membership_, fleet_, settings, share, config_->name},
                              read_file(file_));
  if (!companion_) return;
  dispatcher_.guard(fleet_.gate(companion_->gate()));
  dispatcher_.watch_refusals([this](const core::Call& call) { companion_->refused(call); });
  fleet_.ask_before([this](const std::string& host, const core::Call* call, std::uint64_t function) {
    return companion_->may_send(host, call, function);
  });
  dispatcher_.watch([this](const std::string& host, const core::Call& call, core::Outcome outcome) {
    companion_->attempt_ended(host, call, outcome);
  });
}

void Invoker::take_triggers(const StoreMaker& make_store) {
  if (!config_->amqp) return;
  const auto& amqp = *config_->amqp;
  if (!amqp.store.empty()) {
    if (!make_store)
      throw config::ConfigError("configuration: amqp.store: this program keeps none; lotusyard_full does");
    store_ = make_store(amqp, loop_.now(), counters_);
  }
  triggers_.emplace(
      loop_, pool_, dispatcher_, counters_, config_->settings, broker_of(amqp),
      amqp::Front::Limits{amqp.open_calls, amqp.remembered, amqp.remembered_mb << 20, amqp.sole_consumer},
      store_.get());
  triggers_->start();
  std::cout << "lotusyard " << config_->name << " takes triggers from " << amqp.brokers.front() << std::endl;
}

void Invoker::look() {
  if (const auto out = out_files_.read()) {
    membership_.follow(*out, loop_.now());
  } else {
    counters_.add("membership.not_read");  // what was known holds
  }
  const Standing other = ending() ? Standing::leaving : Standing::beside;
  if (presence_.known()) stand(presence_.other_lives() ? other : Standing::alone);
  look_ = loop_.at(loop_.now() + kLookPace, [this] { look(); });
}

void Invoker::stand(Standing standing) {
  if (standing == standing_) return;
  standing_ = standing;
  const auto mine = shares();
  pool_.bound(mine.unwritten / net::BufferPool::block_size);
  fleet_.bound(host_limits(*config_, mine));
  front_.bound(front_limits());
  counters_.add("takeover.changes");
}

// The file is read whole and checked, and only then taken, whole. A fault leaves everything as it is.
void Invoker::reread() {
  try {
    const auto file = read_file(file_);
    config::check_replacement(outline_, file);
    const auto next = read(file);
    if (next->xds.has_value() != config_->xds.has_value())
      throw config::ConfigError("configuration: xds: can be added or removed at a start only");
    std::string fault;
    if (host_file_ && !host_file_->move(next->xds->file, next->xds->cluster, fault))
      throw config::ConfigError("configuration: xds.file: " + fault);
    if (discovery_) discovery_->move(next->changelog);
    const std::string differs = keep_what_needs_a_start(*config_, *next);
    if (!differs.empty()) std::cerr << "lotusyard: hold from the next start: " << differs << std::endl;
    config_ = next;
    outline_ = config::outline(file);
    fleet_.bound(host_limits(*config_, shares()));
    next->settings.share = dispatcher_.settings().share;
    dispatcher_.retune(next->settings);
    if (triggers_) triggers_->retune(next->settings);
    counters_.add("config.reread");
  } catch (const std::exception& fault) {
    counters_.add("config.faulty");  // the old one goes on
    std::cerr << "lotusyard: " << fault.what() << std::endl;
  }
}

}  // namespace lotusyard
