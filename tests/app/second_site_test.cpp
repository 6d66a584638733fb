// Hosts that load what they lack while the call waits, drop repeats of a key for a while, ignore cancels, are
// slowed by neighbours and break connections, on loopback. Every run is counted.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "hosts/connection_pool.h"
#include "hosts/line_parser.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "net/fields.h"
#include "support/invoker_fixture.h"
#include "support/loopback_server.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

constexpr Millis kLoad{60}, kRun{8}, kWindow{700};

struct Runs {                          // over all hosts
  std::map<std::string, Millis> keys;  // when each key first came
  std::map<std::string, int> by_key, by_body;
  int dropped = 0, loads = 0, probes = 0, cut = 0;
};

class ClubHost {
 public:
  ClubHost(InvokerFixture& world, Runs& runs, Random& random)
      : server(world.loop, world.pool, *this), world_(world), runs_(runs), random_(random) {}
  class Peer final : public net::BufferedConnection {
   public:
    Peer(ClubHost& host, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), host_(host) {}
    int number = ++last_;

   private:
    static inline int last_ = 0;
    ClubHost& host_;
    hosts::LineParser parser_;
    void on_received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      REQUIRE(parser_.parse(bytes, lines));
      for (const auto& line : lines)
        host_.take(number, line);
    }
    void on_closed() override { host_.server.gone(*this); }
  };
  Server<Peer, ClubHost> server;
  double slow = 1;  // what other programs on the machine leave

 private:
  InvokerFixture& world_;
  Runs& runs_;
  Random& random_;
  std::map<std::string, Millis> standing_;  // by function: from when
  int inflight_ = 0;

  void say(int peer, const std::string& text) {
    for (const auto& p : server.peers) {
      if (p->number != peer || p->is_closing())
        continue;
      p->write(text);
      if (below(random_, 60) != 0)
        return;
      ++runs_.cut;  // the machine's network is poor: the answer may have gone out, or not
      return p->close_later();
    }
  }
  Millis load(const std::string& function) {  // until it stands
    const auto [found, fresh] = standing_.emplace(function, world_.loop.now() + kLoad * slow);
    runs_.loads += fresh;
    return found->second;
  }
  void take(int peer, const hosts::Reply& line) {
    if (line.id == "health" || line.id == "load")
      ++runs_.probes;
    const auto fields = net::parse_fields(line.fields);
    if (line.id == "ensure") {
      REQUIRE(fields);
      const std::string tag = line.word, function = net::field(*fields, "asset");
      const bool asks = net::field(*fields, "count") == "0";
      const Millis at = asks ? world_.loop.now() : load(function);
      const bool stands = standing_.count(function) != 0 && standing_.at(function) <= at;
      world_.loop.schedule_at(
          at, [this, peer, tag, stands] { say(peer, tag + " data count=" + (stands ? "1" : "0") + "\r\n"); });
    }
    if (line.id != "exec")
      return;  // a cancel stops nothing
    REQUIRE(fields);
    const std::string ref = line.word, body = line.body, key = net::field(*fields, "op");
    if (below(random_, 40) == 0)
      return say(peer, ref + " full - 0\r\n\r\n");
    const Millis arrived = world_.loop.now();
    const auto known = key.empty() ? runs_.keys.end() : runs_.keys.find(key);
    const bool repeat = known != runs_.keys.end() && arrived - known->second < kWindow;
    if (!key.empty() && !repeat)
      runs_.keys[key] = arrived;
    ++inflight_;
    const Millis begins = std::max(load(net::field(*fields, "asset")), world_.loop.now());
    const Millis ends = begins + kRun * slow * (1.0 + static_cast<double>(below(random_, 3)));
    world_.loop.schedule_at(ends, [this, peer, ref, body, key, repeat] {
      --inflight_;
      runs_.dropped += repeat;
      if (!repeat)
        ++runs_.by_body[body];
      if (!repeat && !key.empty())
        ++runs_.by_key[key];
      say(peer, ref + " data l=inflight:" + std::to_string(inflight_) + ";x0:0.2;x1:0,crowd=1 " +
                    std::to_string(body.size()) + "\r\n" + body + "\r\n");
    });
  }
};

struct Clients final : core::FrontEnd {
  std::map<core::CallId, std::vector<core::Answer>> answers;
  void answer(core::CallId call, core::Answer&& a) override { answers[call].push_back(std::move(a)); }
};

TEST_CASE("hosts that load, slow down, ignore cancels and lose answers run nothing twice that must not be") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  Random random(seed);
  core::Settings s = keyed_settings(kWindow - Millis(100));  // from a send; a host counts from its arrival
  for (auto& c : s.classes)
    c.latency_objective = Millis(150), c.deadline = Millis(500);
  s.host_protocol.answers_misses = s.host_protocol.accepts_probes = false;
  s.load_reports.mode = lotusyard::policy::ReportMode::answers;
  s.load_reports.fields = {lotusyard::policy::ReportField::inflight, lotusyard::policy::ReportField::pinned,
                           lotusyard::policy::ReportField::loading};
  hosts::Limits limits;
  limits.report_fields = {"inflight", "x0", "x1"};
  limits.liveness = hosts::LivenessProbe::order;
  limits.quiet = Millis(120);
  InvokerFixture world(0, s, limits);
  Runs runs;
  std::vector<std::unique_ptr<ClubHost>> fleet;
  core::HostListUpdate list{true, {}};
  core::HostList entries{core::ListKind::full, {}};
  for (int i = 0; i < 5; ++i) {
    fleet.push_back(std::make_unique<ClubHost>(world, runs, random));
    core::ListedHost member;
    member.entry.host = "c" + std::to_string(i);
    member.address = fleet.back()->server.address();
    list.hosts.push_back(member);
    entries.entries.push_back(member.entry);
  }
  world.fleet.update_endpoints(list);
  world.dispatcher.update_endpoints(std::move(entries));

  struct Try {
    std::string call_class, key, body;
    Millis first{0};
    std::uint64_t function = 0;
    core::CallId id = 0;
    int tries = 0;
    bool over = false;
  };
  std::vector<Try> wanted;
  Clients clients;
  std::set<core::CallId> taken;
  std::uint64_t refs = 0;
  const auto send = [&](Try& t) {
    core::Call c;
    c.ref = net::hex16(++refs);
    c.class_name = t.call_class;
    c.key = t.key;
    c.function = t.function;
    c.function_name = net::hex16(t.function);
    c.body = t.body;
    c.lanes = 4;
    c.memory_mb = 4000;
    c.retry = t.tries++ > 0;
    c.arrived = world.loop.now();
    c.timeout = std::min(Millis(250), t.first + Millis(500) - c.arrived);
    t.id = world.dispatcher.allocate_call_id();
    if (!world.dispatcher.admit(t.id, std::move(c), clients).has_value())
      taken.insert(t.id);
  };
  const Millis began = world.loop.now();
  const auto retry = [&](Try& t) {  // as clients do: what the class allows, while its time lasts
    const auto found = clients.answers.find(t.id);
    if (t.over || found == clients.answers.end())
      return;
    const auto status = found->second.front().status;
    const bool again = status == core::CallStatus::rejected || t.call_class != "bin-record";
    t.over = status == core::CallStatus::succeeded || !again || t.tries >= 3 ||
             world.loop.now() - t.first > Millis(400);
    if (!t.over)
      send(t);
  };
  while (wanted.size() < 500) {
    const Millis next = began + Millis(3.0 * static_cast<double>(wanted.size()));
    world.run_until([&] { return world.loop.now() >= next; });
    Try t;
    t.call_class = s.classes[below(random, 3)].name;
    t.body = "b" + std::to_string(wanted.size());
    if (t.call_class == "booking")
      t.key = "k" + std::to_string(wanted.size());
    t.function = 1 + below(random, 12);
    t.first = world.loop.now();
    wanted.push_back(t);
    send(wanted.back());
    for (auto& other : wanted)
      retry(other);
    if (wanted.size() % 100 != 0)
      continue;
    fleet[below(random, 5)]->slow = 1.0 + static_cast<double>(below(random, 12));
  }
  const auto settled = [&] {
    for (auto& t : wanted)
      retry(t);
    return world.dispatcher.open_calls() == 0;
  };
  REQUIRE(world.run_until(settled, 20000));
  const Millis rest = world.loop.now() + kWindow;  // what was given up runs to its end
  world.run_until([&] { return world.loop.now() > rest; });

  for (const auto id : taken)
    CHECK(clients.answers[id].size() == 1);
  std::size_t served = 0;
  for (const auto& t : wanted) {
    const auto& answers = clients.answers[t.id];
    if (!answers.empty() && answers[0].status == core::CallStatus::succeeded) {
      ++served;
      CHECK(answers[0].body == t.body);
      CHECK(runs.by_body[t.body] >= 1);
    }
    if (t.call_class == "bin-record")
      CHECK(runs.by_body[t.body] <= 1);
  }
  for (const auto& [key, count] : runs.by_key)
    CHECK(count == 1);
  CHECK(runs.by_key.size() > 20);
  CHECK(runs.dropped > 0);
  CHECK(served > wanted.size() / 10);
  CHECK(runs.probes == 0);
  CHECK(runs.cut > 0);
  CHECK(runs.loads >= 12);
  CHECK(world.counters.value("guard.host_not_ready") == 0);
}

}  // namespace
}  // namespace lotusyard::test
