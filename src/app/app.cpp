#include "app/app.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "amqp/front.h"
#include "config/config.h"
#include "core/dispatcher.h"
#include "feed/feed.h"
#include "hosts/fleet.h"
#include "net/loop.h"
#include "resp/front.h"
#include "xds/hosts.h"

namespace lotusyard {
namespace {

using core::Millis;

constexpr Millis kComingFor{800};   // after SIGTERM connections and calls keep coming for at most 0.6 s
constexpr Millis kListenFor{500};   // new connections for at most 0.4 s of these
constexpr Millis kLeastKill{3000};  // SIGKILL comes no sooner than the longest deadline, or this, plus 0.7 s
constexpr Millis kKillSlack{600};
constexpr std::size_t kOwnDescriptors = 20;  // standard streams, the listener, the change log and the like

volatile std::sig_atomic_t g_terminate = 0, g_print = 0, g_reread = 0;
int g_wake_fd = -1;  // the write end of a pipe: a signal must end poll(2) at once

void on_signal(int signal) {
  (signal == SIGUSR1 ? g_print : signal == SIGHUP ? g_reread : g_terminate) = 1;
  const char byte = 0;
  if (write(g_wake_fd, &byte, 1) < 0) return;  // full: the loop wakes anyway
}

class Wake final : public net::Handler {
 public:
  explicit Wake(net::Loop& loop) : loop_(loop) {
    int ends[2];
    if (pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
    read_end_ = net::Socket(ends[0]);
    write_end_ = net::Socket(ends[1]);
    g_wake_fd = write_end_.fd();
    loop_.watch(read_end_.fd(), *this, POLLIN);
    struct sigaction act {};
    act.sa_handler = on_signal;
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaction(signal, &act, nullptr);
    act.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &act, nullptr);
  }
  ~Wake() override { loop_.forget(read_end_.fd(), *this); }
  void ready(short) override {
    char bytes[64];
    while (read(read_end_.fd(), bytes, sizeof bytes) > 0) {}
  }

 private:
  net::Loop& loop_;
  net::Socket read_end_, write_end_;
};

}  // namespace

std::string environment(const char* name) {
  const char* const value = std::getenv(name);
  return value == nullptr ? std::string() : value;
}

namespace {

amqp::Broker broker_of(const config::AmqpConfig& from) {
  amqp::Broker out;
  out.addresses = from.brokers;
  out.user = from.user;
  out.password = from.password;
  out.vhost = from.vhost;
  out.queues = from.queues;
  out.topology = from.topology;
  out.prefetch = from.prefetch;
  out.heartbeat_s = from.heartbeat_s;
  out.longest_body = from.body_kb << 10;
  return out;
}

config::Config read_file(const std::string& file) {
  return config::read_config(config::read_json_file(file), environment("BALANCER_NAME"),
                             environment("BALANCER_LISTEN"));
}

}  // namespace

int run(const std::string& file, const StoreMaker& make_store) {
  net::Loop loop;
  Wake wake(loop);  // first: no signal may end the program while it starts
  if (file.empty())
    throw config::ConfigError("configuration: BALANCER_CONFIG: not set, and no file was named");
  const auto config = read_file(file);
  core::Counters counters;
  // A quarter of the memory may wait unwritten, a quarter be held as bodies of open calls, and a quarter as
  // answers of hosts that are not whole yet: a length is only what a host says, a spoilt one says anything.
  const std::size_t quarter = (config.memory_mb << 20) / 4;
  net::BufferPool pool(quarter / net::BufferPool::block_size);

  hosts::Limits host_limits;
  host_limits.connect_timeout = config.settings.connect_timeout;
  host_limits.idle = config.connection_idle;
  host_limits.order_timeout = config.settings.order_timeout;
  host_limits.attempts_a_link = config.attempts_a_link;
  host_limits.links = config.sockets / 3;
  const std::size_t longest_call =
      std::max(config.amqp ? config.amqp->body_kb << 10 : 0, resp::Parser::longest_word);
  host_limits.longest_answer = std::max(quarter / host_limits.links, longest_call);
  host_limits.report_fields = config.report_fields;
  hosts::Fleet fleet(loop, pool, counters, host_limits);
  core::Dispatcher dispatcher(
      config.settings, [&loop] { return loop.now(); }, fleet, counters);
  fleet.attach(dispatcher);

  const auto told = [&](const core::MemberList& list, core::ListKind kind) {
    fleet.members(list);  // first: what the module sends next needs the addresses
    core::HostList entries{kind, {}};
    for (const auto& member : list.members) entries.entries.push_back(member.entry);
    dispatcher.members(std::move(entries));
  };
  feed::Log log;
  for (const auto& event : config.known_events) {
    core::MemberList list;
    if (log.event(event, list) != feed::Log::Read::news) continue;
    told(list, list.complete ? core::ListKind::cached : core::ListKind::delta);
  }
  log.skip_to(config.known_seq);
  const auto told_later = [&](const core::MemberList& list) {
    told(list, list.complete ? core::ListKind::full : core::ListKind::delta);
  };
  std::optional<feed::Feed> feed;
  std::optional<xds::HostFile> host_file;
  if (config.xds) {
    host_file.emplace(loop, counters, config.xds->file, config.xds->cluster, config.xds->reread, told_later);
    std::string fault;
    if (!host_file->start(fault)) throw config::ConfigError("configuration: xds.file: " + fault);
  } else {
    feed.emplace(loop, pool, counters, config.changelog, log, told_later);
    feed->start();
  }

  // SIGHUP: the file is read whole and checked; only then is the list of hosts followed to where it says.
  const auto reread = [&] {
    try {
      const auto next = read_file(file);
      if (next.xds.has_value() != config.xds.has_value())
        throw config::ConfigError("configuration: xds: can be added or removed at a start only");
      std::string fault;
      if (host_file && !host_file->move(next.xds->file, next.xds->cluster, fault))
        throw config::ConfigError("configuration: xds.file: " + fault);
      if (feed) feed->move(next.changelog);
      counters.add("config.reread");
    } catch (const std::exception& fault) {
      counters.add("config.faulty");  // the old one goes on
      std::cerr << "lotusyard: " << fault.what() << std::endl;
    }
  };

  Millis longest = kLeastKill;
  for (const auto& c : config.settings.classes) longest = std::max(longest, c.deadline);
  // A third of the descriptors each for clients and for hosts; the last third for connections that have not
  // asked yet, less what the program itself holds.
  resp::Front::Limits front_limits;
  front_limits.clients = config.sockets / 3;
  front_limits.newcomers = std::max<std::size_t>(config.sockets / 3, 2 * kOwnDescriptors) - kOwnDescriptors;
  front_limits.body_bytes = quarter;
  resp::Front front(loop, pool, dispatcher, counters, front_limits);
  if (!config.listen.empty()) {
    if (!front.listen(config.listen)) {
      throw config::ConfigError("configuration: listen: cannot listen on " + config.listen);
    }
    std::cout << "lotusyard " << config.name << " listens on " << config.listen << std::endl;
  }
  std::unique_ptr<answers::Store> store;
  std::optional<amqp::Front> triggers;
  if (config.amqp) {
    if (!config.amqp->store.empty()) {
      if (!make_store)
        throw config::ConfigError("configuration: amqp.store: this program keeps none; lotusyard_full does");
      store = make_store(*config.amqp, loop.now(), counters);
    }
    triggers.emplace(loop, pool, dispatcher, counters, config.settings, broker_of(*config.amqp),
                     amqp::Front::Limits{config.amqp->open_calls, config.amqp->remembered,
                                         config.amqp->remembered_mb << 20, config.amqp->sole_consumer},
                     store.get());
    triggers->start();
    std::cout << "lotusyard " << config.name << " takes triggers from " << config.amqp->brokers.front()
              << std::endl;
  }

  Millis told_to_end{0};
  while (true) {
    Millis due = dispatcher.next_due();
    if (told_to_end.count() > 0) due = std::min(due, loop.now() + Millis(20));
    loop.turn(due, [&] { dispatcher.tick(); });
    if (g_print != 0) {
      g_print = 0;
      counters.print(std::cout);
    }
    if (g_reread != 0) {
      g_reread = 0;
      reread();
    }
    if (g_terminate != 0 && told_to_end.count() == 0) {
      told_to_end = loop.now();
      front.drain();
      if (triggers) triggers->drain();
    }
    if (told_to_end.count() == 0) continue;
    const Millis since = loop.now() - told_to_end;
    if (since > kListenFor) front.stop_listening();
    if (since <= kComingFor) continue;
    const bool all_ended = front.open_calls() == 0 && front.written() && (!triggers || triggers->done());
    if (all_ended || since > longest + kKillSlack) break;
  }
  if (triggers) triggers->close();
  loop.turn(loop.now(), [] {});
  counters.print(std::cout);
  return 0;
}

}  // namespace lotusyard
