// Whole processes in service: the operators' door, hosts out by hand, settings at SIGHUP and replacement,
// with stand-in hosts, a stand-in change log and clients on loopback.
#include <netinet/in.h>

#include <set>

#include "helper.h"
#include "net/fields.h"
#include "process.h"
#include "resp/parser.h"

namespace lotusyard::test {
namespace {

// An address that nobody listens at, free a moment ago.
std::string free_address() {
  const net::Socket socket = net::listen_on("127.0.0.1:0");
  return net::bound_address(socket);
}

class ChangeLog {
 public:
  explicit ChangeLog(World& world) : server(world.loop, world.pool, *this) {}
  class Peer final : public net::Stream {
   public:
    Peer(ChangeLog& log, net::Loop& loop, net::BufferPool& pool, net::Socket socket)
        : Stream(loop, pool, std::move(socket), false), log_(log) {}

   private:
    ChangeLog& log_;
    void received(std::string_view) override {
      ++log_.asked;
      for (const auto& line : log_.lines) write(line);  // those it has it passes over
    }
    void ended() override { log_.server.gone(*this); }
  };
  void tell(const std::string& id, const std::string& address, const std::string& phase, double started = 0) {
    nlohmann::json event = {{"seq", lines.size() + 1}};
    event["fleet"] = {{"complete", lines.empty()},
                      {"members",
                       {{{"id", id},
                         {"host_port", address},
                         {"locality", "z"},
                         {"flavor", "std"},
                         {"phase", phase},
                         {"size", 2},
                         {"up_since_ms", started}}}}};
    lines.push_back(event.dump() + "\n");
    for (const auto& peer : server.peers) peer->write(lines.back());
  }
  int asked = 0;
  std::vector<std::string> lines;
  Server<Peer, ChangeLog> server;
};

// A client that asks again on a new connection when its old one has ended without an answer, as the
// platform's front does.
class Tablet final : public net::Stream {
 public:
  Tablet(World& world, const std::string& address)
      : Stream(world.loop, world.pool, net::connect_to(address), true) {}
  void call(int number, const std::string& cls, const std::string& body, int allow = 800) {
    const std::string tag = std::to_string(number);
    std::string out;
    const std::string fields = "ref=" + net::hex16(std::hash<std::string>()(body + tag)) +
                               ",allow=" + std::to_string(allow) + ",lookup=00000000000000a1";
    resp::write_array(out, {"CALL", tag, cls, fields, body});
    open.emplace(tag, body);
    asked_at = loop().now();
    write(out);
  }
  std::map<std::string, std::string> open;               // by tag: the body
  std::vector<std::pair<std::string, std::string>> got;  // word and the body asked with
  bool closed = false;
  Millis asked_at{0}, ended_at{0};

 private:
  resp::Parser parser_;
  void connected() override { loop().flush_later(*this); }
  void received(std::string_view bytes) override {
    std::vector<resp::Words> answers;
    REQUIRE(parser_.take(bytes, answers));
    for (const auto& words : answers) {
      const auto asked = open.find(words.at(0));
      REQUIRE(asked != open.end());
      if (words.at(1) == "OK") CHECK(words.at(3) == asked->second);
      got.emplace_back(words.at(1), asked->second);
      open.erase(asked);
    }
  }
  void ended() override {
    closed = true;
    ended_at = loop().now();
  }
};

struct Service {
  Folder folder;
  World world{2};
  ChangeLog log{world};
  net::Socket listener = net::listen_on("127.0.0.1:0");
  std::string listen = net::bound_address(listener), config = folder.path + "/config.json";
  std::list<std::string> consoles;
  std::list<Process> processes;
  explicit Service(bool inherited = true) : inherited_(inherited) {
    for (std::size_t i = 0; i < 2; ++i) tell(i, "ready");
    if (!inherited) listener = net::Socket();
    write(platform_file(listen, log.server.address()));
  }
  void write(const nlohmann::json& file) { std::ofstream(config, std::ios::trunc) << file.dump(); }
  void tell(std::size_t host, const std::string& phase, double started = 0) {
    log.tell("h" + std::to_string(host), world.host[host]->server.address(), phase, started);
  }
  Process& start(const std::map<std::string, std::string>& more = {}) {
    consoles.push_back(free_address());
    std::map<std::string, std::string> environment = {
        {"BALANCER_CONFIG", config}, {"BALANCER_CONSOLE", consoles.back()}, {"TMPDIR", folder.path}};
    if (inherited_) environment["BALANCER_LISTEN_FD"] = "3";
    for (const auto& [name, value] : more) environment[name] = value;
    processes.emplace_back(folder.path + "/log" + std::to_string(processes.size()), environment,
                           inherited_ ? &listener : nullptr);
    return processes.back();
  }
  template <typename Until>
  bool until(const Until& done) {
    const auto give_up = world.loop.now() + Millis(30000);
    while (world.loop.now() < give_up) {
      if (done()) return true;  // asked once: some of what is asked sends calls
      world.turn();
    }
    return false;
  }
  // The status of an answer at the operators' door; 0 if nobody opens.
  int ask(const std::string& console, const std::string& method, const std::string& path) {
    class Call final : public net::Stream {
     public:
      Call(World& world, const std::string& address)
          : Stream(world.loop, world.pool, net::connect_to(address), true) {}
      std::string got;
      bool closed = false;

     private:
      void connected() override { loop().flush_later(*this); }
      void received(std::string_view bytes) override { got += bytes; }
      void ended() override { closed = true; }
    } call(world, console);
    call.write(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(until([&] { return call.closed; }));
    return call.got.size() < 12 ? 0 : std::stoi(call.got.substr(9, 3));
  }
  bool ready(const std::string& console) {
    return until([&] { return ask(console, "GET", "/-/ready") == 200; });
  }
  int post(const std::string& console, const std::string& path) { return ask(console, "POST", path); }
  int runs(const std::string& body) const {
    int all = 0;
    for (const auto& one : world.host) all += one->runs.count(body) == 0 ? 0 : one->runs.at(body);
    return all;
  }
  // Calls one after the other; how many each host has run of them.
  std::vector<int> serve(int calls, const std::string& cls = "bin-check") {
    const int before[] = {world.host[0]->execs, world.host[1]->execs};
    Tablet tablet(world, listen);
    for (int i = 1; i <= calls; ++i) {
      tablet.call(i, cls, cls + std::to_string(++bodies_));
      REQUIRE(until([&] { return tablet.open.empty() || tablet.closed; }));
    }
    CHECK(tablet.got.size() == static_cast<std::size_t>(calls));
    return {world.host[0]->execs - before[0], world.host[1]->execs - before[1]};
  }

 private:
  bool inherited_;
  int bodies_ = 0;
};

TEST_CASE("a host is out by hand across an upgrade, seen by both processes, until one call puts it back") {
  const bool inherited = GENERATE(true, false);
  Service s(inherited);
  s.start();
  const std::string first = s.consoles.back();
  REQUIRE(s.ready(first));
  REQUIRE(s.until([&] { return s.log.asked == 1; }));
  s.serve(5);
  CHECK(s.post(first, "/-/hosts/nobody/disable") == 404);
  CHECK(s.post(first, "/-/hosts/h0/disable") == 200);
  CHECK(s.post(first, "/-/hosts/h0/disable") == 200);
  const int orders = s.world.host[0]->orders;
  CHECK(s.serve(10)[0] == 0);
  s.tell(0, "draining");
  s.tell(0, "ready", 5);
  CHECK(s.serve(10)[0] == 0);
  if (inherited) {  // killed, or replaced: the next one knows
    if (GENERATE(true, false)) s.processes.front().signal(SIGKILL);
    s.start();
    const std::string second = s.consoles.back();
    REQUIRE(s.ready(second));
    if (s.processes.front().status() < 0) {
      s.processes.front().signal(SIGTERM);
      REQUIRE(s.until([&] { return s.processes.front().status() >= 0; }));
      CHECK(s.processes.front().status() == 0);
    }
    CHECK(s.serve(10)[0] == 0);
    CHECK(s.world.host[0]->orders == orders);
    CHECK(s.post(second, "/-/hosts/h0/enable") == 200);
  } else {
    CHECK(s.post(first, "/-/hosts/h0/enable") == 200);
  }
  // Not one of the two is in need of the other: the module has to want it used.
  const bool used = s.until([&] { return s.serve(3)[0] > 0; });
  s.processes.back().signal(SIGUSR1);
  s.until([&] { return s.processes.back().counter("calls.taken") > 0; });
  INFO(s.processes.back().log());
  CHECK(used);
}

TEST_CASE("what one process is told by hand holds for the other one before long") {
  Service s;
  s.start();
  s.start();
  const std::string one = s.consoles.front(), other = s.consoles.back();
  REQUIRE((s.ready(one) && s.ready(other)));
  CHECK(s.post(one, "/-/hosts/h1/disable") == 200);
  s.processes.front().signal(SIGTERM);
  REQUIRE(s.until([&] { return s.processes.front().status() == 0; }));
  CHECK(s.serve(10)[1] == 0);
}

TEST_CASE("SIGHUP takes a whole good file, and nothing of a faulty one") {
  Service s(false);
  Process& process = s.start();
  REQUIRE(s.ready(s.consoles.back()));
  s.serve(3);
  auto next = platform_file(s.listen, s.log.server.address());
  next["settings"]["Classes"].push_back(next["settings"]["Classes"][1]);
  next["settings"]["Classes"][2]["Name"] = "bin-weigh";
  auto faulty = next;
  faulty["changelog"] = free_address();
  faulty["settings"]["Classes"][0]["HardLimit"] = -5;
  s.write(faulty);
  process.signal(SIGHUP);
  REQUIRE(s.until([&] { return process.says("HardLimit"); }));
  std::ofstream(s.config, std::ios::trunc).flush();
  process.signal(SIGHUP);
  REQUIRE(s.until([&] { return process.says("holds no JSON object"); }));
  Tablet early(s.world, s.listen);
  early.call(1, "bin-weigh", "early");
  REQUIRE(s.until([&] { return early.open.empty(); }));
  CHECK(early.got.at(0).first == "FAILED");
  s.write(next);
  process.signal(SIGHUP);
  REQUIRE(s.until([&] {
    process.signal(SIGUSR1);
    return process.counter("config.reread") == 1;
  }));
  CHECK(process.counter("config.faulty") == 2);
  CHECK(process.counter("feed.moves") == 0);
  s.serve(3, "bin-weigh");
  CHECK(process.status() == -1);
}

TEST_CASE("a descriptor that is no listening socket is a fault that names it") {
  Service s(false);
  Process& process = s.start({{"BALANCER_LISTEN_FD", "2"}});
  REQUIRE(s.until([&] { return process.status() >= 0; }));
  CHECK(process.status() == 1);
  CHECK(process.says("BALANCER_LISTEN_FD"));
}

// Clients keep calling while one process replaces the other, three times. A call that crosses the close of
// its connection is sent once more, as the platform's front does; all others must get their answer.
TEST_CASE("a process is replaced under clients: no call is lost, and no bin-record runs twice") {
  Service s;
  for (auto& host : s.world.host) host->react = [](const std::string&) { return Reaction(); };
  s.start();
  REQUIRE(s.ready(s.consoles.back()));
  std::vector<std::unique_ptr<Tablet>> tablets(8);
  std::vector<Millis> next_call(tablets.size());
  std::set<std::string> crossed;  // bodies of calls whose connection ended with no answer
  Random random(3);
  int number = 0, upgrades = 0, answered = 0, refused_at_door = 0;
  bool under_way = false;
  Millis next_step{s.world.loop.now() + Millis(300)};
  while (upgrades < 3 || under_way) {
    s.world.turn();
    const Millis now = s.world.loop.now();
    for (std::size_t i = 0; i < tablets.size(); ++i) {
      auto& tablet = tablets[i];
      if (tablet && tablet->closed) {
        if (tablet->open.empty() && tablet->asked_at.count() == 0) ++refused_at_door;
        for (const auto& call : tablet->open) crossed.insert(call.second);
        tablet.reset();
      }
      if (!tablet) tablet = std::make_unique<Tablet>(s.world, s.listen);
      if (!tablet->open.empty()) continue;
      for (const auto& answer : tablet->got) {
        ++answered;
        next_call[i] = now + Millis(static_cast<double>(below(random, 30)));
        CHECK((answer.first == "OK" || answer.first == "BUSY"));
        if (answer.first == "BUSY") CHECK(s.runs(answer.second) == 0);
      }
      tablet->got.clear();
      if (now < next_call[i]) continue;
      ++number;
      tablet->call(number, number % 2 == 0 ? "bin-record" : "bin-check", std::to_string(number), 800);
    }
    if (now < next_step) continue;
    if (!under_way) {
      s.start();
      under_way = true;
      REQUIRE(s.ready(s.consoles.back()));
      s.processes.front().signal(SIGTERM);
    } else if (s.processes.front().status() >= 0) {
      CHECK(s.processes.front().status() == 0);
      CHECK(s.processes.front().counter("calls.overdue") == 0);
      s.processes.pop_front();
      ++upgrades;
      under_way = false;
    }
    next_step = now + Millis(100);
  }
  INFO("answered " << answered << ", crossed " << crossed.size());
  CHECK(answered > 50);
  CHECK(refused_at_door == 0);
  for (const auto& body : crossed) CHECK(s.runs(body) == 0);  // it may be sent once more
  for (int i = 2; i <= number; i += 2) CHECK(s.runs(std::to_string(i)) <= 1);
}

}  // namespace
}  // namespace lotusyard::test
