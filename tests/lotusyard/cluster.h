// Whole members of a group as real processes, with stand-in hosts and clients, a relay among them that cuts,
// delays and resets, and the one checker of what all of them wrote and did.
#pragma once

#include <cmath>
#include <set>

#include "group/wire.h"
#include "service.h"
#include "works/timeline.h"

namespace lotusyard::test {

using group::Frame;
using group::FrameParser;

// Stands before one member: what others send it comes through here, and can be cut, delayed and reset.
class Relay {
 public:
  Relay(World& world, std::string to)
      : server(world.loop, world.pool, *this), world_(world), to_(std::move(to)) {}
  class Peer final : public net::Stream {
   public:
    Peer(Relay& relay, net::Loop& loop, net::BufferPool& pool, net::Socket socket)
        : Stream(loop, pool, std::move(socket), false), relay_(relay), inner_(relay) {
      inner_.back = [this](std::string_view more) {
        if (!dead) write(more);
      };
      inner_.gone = [this] { end_later(); };
    }
    std::string from;
    bool dead = false;
    void over() {
      inner_.end_later();
      end_later();
    }

   private:
    struct Inner final : net::Stream {
      explicit Inner(Relay& relay)
          : Stream(relay.world_.loop, relay.world_.pool, net::connect_to(relay.to_), true) {}
      void connected() override { loop().flush_later(*this); }
      void received(std::string_view bytes) override {
        if (back) back(bytes);
      }
      void ended() override {
        if (gone) gone();
      }
      std::function<void(std::string_view)> back;
      std::function<void()> gone;
    };
    Relay& relay_;
    Inner inner_;
    FrameParser parser_;
    void received(std::string_view bytes) override {
      if (from.empty()) {
        std::vector<Frame> frames;
        if (!parser_.take(bytes, frames)) return over();
        if (!frames.empty()) from = group::read_hello(frames[0].body).value_or(group::Hello()).member;
      }
      if (relay_.cut.count(from) != 0) dead = true;  // whatever comes is lost, and nobody is told
      if (dead) return;
      inner_.write(bytes);
    }
    void ended() override {
      inner_.end_later();
      relay_.server.gone(*this);
    }
  };
  void reset() {
    for (const auto& peer : server.peers) peer->over();
  }
  void heal(const std::string& from) {
    cut.erase(from);
    for (const auto& peer : server.peers) {
      if (peer->dead) peer->over();
    }
  }
  std::set<std::string> cut;  // members from whom nothing comes through
  Server<Peer, Relay> server;

 private:
  World& world_;
  std::string to_;
};

struct Exec {
  double at = 0, until = 0;  // until when it may run
  std::string body;
};

struct Cluster {
  struct Member {
    std::string name, listen, admin_endpoint, clients, config;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<Process> process;
    std::shared_ptr<Tablet> tablet;
    bool stopped = false;
    double back_at = 0;  // when it is started or resumed again; 0: it runs
    std::set<std::string> lost;
  };
  Service s{false};
  World& world = s.world;
  Random random;
  std::vector<std::unique_ptr<Member>> members;
  std::vector<std::vector<Exec>> execs;
  std::string breaks;  // the rule that all members break
  int number = 0, answers = 0;
  double calls_at = 0;
  bool quiet = false;  // no calls

  Cluster(std::uint64_t seed, int count, int hosts, std::string broken = {}, int voters = 7,
          double lease = 600, double election = 200, double view_period = 0)
      : random(seed), breaks(std::move(broken)) {
    while (world.host.size() < static_cast<std::size_t>(hosts))
      world.host.push_back(std::make_unique<StandInHost>(world.loop, world.pool));
    execs.resize(world.host.size());
    for (std::size_t i = 0; i < world.host.size(); ++i) {
      if (i >= 2) s.tell(i, "ready");
      StandInHost& host = *world.host[i];
      host.react = [this, i, &host](const std::string& body) {
        const auto& fields = host.fields.back();
        const auto at = fields.find("patience=");
        const double patience = at == std::string::npos ? 0 : std::stod(fields.substr(at + 9));
        const bool silent = below(random, 40) == 0;
        const double now = world.loop.now().count();
        execs[i].push_back({now, silent ? now + patience : now, body});
        Reaction out;
        if (silent) out.kind = Reaction::silence;
        return out;
      };
    }
    nlohmann::json peers = nlohmann::json::array();
    for (int i = 0; i < count; ++i) {
      auto m = std::make_unique<Member>();
      m->name = i < 26 ? std::string(1, static_cast<char>('a' + i)) : "m" + std::to_string(i);
      m->listen = free_address();
      m->admin_endpoint = free_address();
      m->clients = free_address();
      m->config = s.folder.path + "/" + m->name + ".json";
      m->relay = std::make_unique<Relay>(world, m->listen);
      peers.push_back({{"name", m->name}, {"address", m->relay->server.address()}, {"votes", i < voters}});
      members.push_back(std::move(m));
    }
    for (auto& m : members) {
      auto file = platform_file(m->clients, s.log.server.address());
      file["name"] = m->name;
      file["console"] = m->admin_endpoint;
      file["settings"]["Balancers"] = count;
      file["settings"]["Classes"][0]["HardLimit"] = 400;
      file["settings"]["Classes"][1]["HardLimit"] = 400;
      file["settings"]["Classes"][0]["Aim"] = 300;
      file["settings"]["Classes"][1]["Aim"] = 300;
      file["settings"]["Bounds"]["Probes"] = false;
      file["group"] = {{"cluster", "yard"},   {"store", s.folder.path + "/" + m->name + ".db"},
                       {"listen", m->listen}, {"members", peers},
                       {"lease_ms", lease},   {"election_ms", election}};
      if (view_period > 0) file["group"]["view"] = {{"period_ms", view_period}};
      std::ofstream(m->config) << file.dump();
      const std::string init = std::string(LOTUSYARD_FULL) + " group init " + m->config + " >/dev/null";
      REQUIRE(std::system(init.c_str()) == 0);
      start(*m);
    }
  }
  std::string log_of(const Member& m) const { return s.folder.path + "/" + m.name + ".log"; }
  void start(Member& m) {
    std::map<std::string, std::string> environment = {{"BALANCER_CONFIG", m.config},
                                                      {"TMPDIR", s.folder.path}};
    if (!breaks.empty()) environment["LOTUSYARD_BREAKS"] = breaks;
    m.process = std::make_unique<Process>(log_of(m), environment, nullptr,
                                          breaks.empty() ? LOTUSYARD_FULL : LOTUSYARD_FULL_BROKEN);
    m.back_at = 0;
    m.stopped = false;
  }
  void call(Member& m) {
    if (m.stopped || m.back_at > 0) return;
    if (!m.tablet || m.tablet->closed) m.tablet = std::make_shared<Tablet>(world, m.clients);
    if (m.tablet->open.size() > 50) return;
    const bool record = ++number % 3 == 0;
    m.tablet->call(number, record ? "bin-record" : "bin-check",
                   (record ? "record " : "check ") + std::to_string(number), 350);
  }
  void turn() {
    const double now = world.loop.now().count();
    if (now >= calls_at && !quiet) {
      calls_at = now + 10;
      for (auto& m : members) call(*m);
    }
    for (auto& m : members) {
      if (m->back_at > 0 && now >= m->back_at) revive(*m);
    }
    world.turn();
  }
  void revive(Member& m) {
    if (m.stopped) {
      m.process->signal(SIGCONT);
      m.stopped = false;
      m.back_at = 0;
    } else {
      start(m);
    }
  }
  template <typename Until>
  bool until(const Until& done, double seconds) {
    const double give_up = world.loop.now().count() + seconds * 1000;
    while (world.loop.now().count() < give_up) {
      if (done()) return true;
      turn();
    }
    return done();
  }
  bool all_ready(double seconds) {
    const auto ready = [this](const auto& m) { return s.ask(m->admin_endpoint, "GET", "/-/ready") == 200; };
    return until([&] { return std::all_of(members.begin(), members.end(), ready); }, seconds);
  }
  void disturb() {
    Member& m = *members[below(random, members.size())];
    const Member& other = *members[below(random, members.size())];
    const double now = world.loop.now().count(), span = 200 + static_cast<double>(below(random, 1500));
    switch (below(random, 6)) {
      case 0:
        if (m.back_at > 0) break;
        m.process->signal(SIGKILL);
        REQUIRE(s.until([&] { return m.process->status() >= 0; }));
        m.back_at = now + span;
        break;
      case 1:
        if (m.back_at > 0) break;
        m.process->signal(SIGSTOP);
        m.stopped = true;
        m.back_at = now + span;
        break;
      case 2: m.relay->cut.insert(other.name); break;
      case 3:
        for (const auto& one : members) {  // cut off from all, both ways
          m.relay->cut.insert(one->name);
          one->relay->cut.insert(m.name);
        }
        break;
      case 4: m.relay->reset(); break;
      default: heal(); break;
    }
  }
  void heal() {
    for (auto& m : members) {
      for (const auto& from : members) m->relay->heal(from->name);
    }
  }
  std::vector<std::string> lines() const {
    std::vector<std::string> out;
    for (const auto& m : members) {
      std::ifstream in(log_of(*m));
      for (std::string line; std::getline(in, line);) out.push_back(line);
    }
    return out;
  }
  // Says to a member that whatever may be touched and has been for a while is back.
  void give_back(double after) {
    std::map<std::string, double> out;
    for (const auto& h : works::read_timeline(lines()).happenings) {
      if (h.what == "touch") out[h.host] = h.at;
      if (h.what == "returned") out.erase(h.host);
    }
    for (const auto& [host, at] : out) {
      if (world.loop.now().count() - at < after) continue;
      Member& m = *members[below(random, members.size())];
      if (m.back_at > 0) continue;
      propose(
          m, {{"t", "returned"}, {"id", "r" + host + std::to_string(static_cast<long>(at))}, {"host", host}});
    }
  }
  int propose(Member& m, const nlohmann::json& what) {
    return s.ask(m.admin_endpoint, "POST", "/-/works/propose/" + escaped(what.dump()));
  }
  static std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
      char code[4];
      std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned char>(c));
      out += std::isalnum(static_cast<unsigned char>(c)) != 0 ? std::string(1, c) : std::string(code);
    }
    return out;
  }
  bool add(const std::string& id, int out) {
    nlohmann::json work = {
        {"t", "add"},
        {"id", "add-" + id},
        {"added", {{"id", id}, {"select", {{"all", true}}}, {"bounds", {{"out", out}, {"usable", 0.5}}}}}};
    return until(
        [&] {
          if (members[0]->back_at == 0) propose(*members[0], work);
          const auto course = works::read_timeline(lines());
          return std::any_of(course.happenings.begin(), course.happenings.end(),
                             [&](const auto& h) { return h.what == "add"; });
        },
        20);
  }
  bool done() const {
    const auto course = works::read_timeline(lines());
    std::map<std::string, int> back;
    for (const auto& h : course.happenings) back[h.host] += h.what == "back";
    int all = 0;
    for (const auto& [host, times] : back) all += times > 0;
    return all == static_cast<int>(world.host.size());
  }
  // Every rule, from all members' lines and all hosts' counts. Empty: none is broken.
  std::string broken_rule(int most_out) const {
    const auto course = works::read_timeline(lines());
    if (!course.fault.empty()) return "members disagree: " + course.fault;
    std::set<std::string> out;
    std::map<std::string, double> touched;
    const auto index_of = [&](const std::string& host) {
      for (std::size_t i = 0; i < world.host.size(); ++i) {
        if (host == "h" + std::to_string(i)) return i;
      }
      return world.host.size();
    };
    std::vector<std::tuple<std::string, double, double>> spans;
    for (const auto& h : course.happenings) {
      if (h.what == "take") out.insert(h.host);
      if (h.what == "back") out.erase(h.host);
      if (static_cast<int>(out.size()) > most_out)
        return std::to_string(out.size()) + " hosts out at index " + std::to_string(h.index);
      if (h.what == "touch") touched[h.host] = h.at;
      if (h.what != "returned") continue;
      if (touched.count(h.host) == 0) return h.host + " is back and was not out";
      spans.emplace_back(h.host, touched[h.host], h.at);
      touched.erase(h.host);
    }
    for (const auto& [host, at] : touched) spans.emplace_back(host, at, 1e18);
    for (const auto& [host, from, to] : spans) {
      for (const auto& e : execs.at(index_of(host))) {
        if (e.at > from && e.at < to)
          return host + " has a call " + std::to_string(e.at - from) + " ms after it may be touched";
        if (e.at <= from && e.until > from)
          return host + " may be touched with a call there for " + std::to_string(e.until - from) +
                 " ms more";
      }
    }
    std::map<std::string, int> records;
    for (const auto& host : execs) {
      for (const auto& e : host) {
        if (e.body.compare(0, 6, "record") == 0 && ++records[e.body] > 1) return e.body + " ran twice";
      }
    }
    return {};
  }
  // One work over all hosts, with as many disturbances; what is broken, else empty.
  std::string run(int disturbances, int most_out) {
    REQUIRE(until([&] { return s.ask(members[0]->admin_endpoint, "GET", "/-/ready") == 200; }, 20));
    REQUIRE(add("w", most_out));
    for (int i = 0; i < disturbances; ++i) {
      const double next = world.loop.now().count() + 100 + static_cast<double>(below(random, 500));
      until([&] { return world.loop.now().count() >= next; }, 10);
      disturb();
      give_back(100);
      const std::string broken = broken_rule(most_out);
      if (!broken.empty()) return broken;
    }
    heal();
    for (auto& m : members) {
      if (m->back_at > 0) revive(*m);
    }
    double checked = 0;
    const bool ended = until(
        [&] {
          if (world.loop.now().count() < checked) return false;
          checked = world.loop.now().count() + 100;
          give_back(100);
          return done();
        },
        60);
    const std::string broken = broken_rule(most_out);
    if (!broken.empty()) return broken;
    if (!ended) return "the work does not end";
    const bool answered = until(
        [&] {
          return std::all_of(members.begin(), members.end(), [](const auto& m) {
            return !m->tablet || m->tablet->closed || m->tablet->open.size() < 40;
          });
        },
        5);
    return answered ? std::string() : "calls are not answered";
  }
  std::string all_logs() const {
    std::string out;
    for (const auto& line : lines()) out += line + "\n";
    return out;
  }
};

}  // namespace lotusyard::test
