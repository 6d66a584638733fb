// Whole processes in service: a stand-in change log, clients, and what starts and asks them.
#pragma once

#include <catch2/catch.hpp>
#include <cctype>
#include <cstdio>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "net/fields.h"
#include "resp/parser.h"
#include "support/invoker_fixture.h"
#include "support/loopback_server.h"
#include "support/process.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {

// As a part of a path.
inline std::string percent_encoded(const std::string& text) {
  std::string out;
  for (const char c : text) {
    char code[4];
    std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned char>(c));
    out += std::isalnum(static_cast<unsigned char>(c)) != 0 ? std::string(1, c) : std::string(code);
  }
  return out;
}

// An address that nobody listens at, free a moment ago. Its port lies below those that the system gives to
// connections, so that none takes it before the process that is to listen there has started.
inline std::string free_address() {
  constexpr unsigned kFirst = 20000, kPorts = 12000;
  static unsigned next = std::random_device()() % kPorts;
  while (true) {
    next = (next + 1) % kPorts;
    const std::string address = "127.0.0.1:" + std::to_string(kFirst + next);
    if (net::listen_on(address))
      return address;
  }
}

class ChangeLog {
 public:
  // The protocol's: a line with the last number alone each second. Without it the list counts as unconfirmed.
  static constexpr Millis kHeartbeat{1000};

  explicit ChangeLog(InvokerFixture& world) : server(world.loop, world.pool, *this), loop_(world.loop) {
    schedule_heartbeat();
  }
  ~ChangeLog() { loop_.cancel(heartbeat_timer_); }
  ChangeLog(const ChangeLog&) = delete;
  ChangeLog& operator=(const ChangeLog&) = delete;
  class Peer final : public net::BufferedConnection {
   public:
    Peer(ChangeLog& log, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), log_(log) {}

   private:
    ChangeLog& log_;
    void on_received(std::string_view) override {
      ++log_.asked;
      for (const auto& line : log_.lines)
        write(line);  // those it has it passes over
      write(log_.heartbeat());
    }
    void on_closed() override { log_.server.gone(*this); }
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
    for (const auto& peer : server.peers)
      peer->write(lines.back());
  }
  int asked = 0;
  std::vector<std::string> lines;
  Server<Peer, ChangeLog> server;

 private:
  net::EventLoop& loop_;
  net::EventLoop::TimerId heartbeat_timer_{};

  std::string heartbeat() const { return R"({"seq":)" + std::to_string(lines.size()) + "}\n"; }
  void schedule_heartbeat() {
    heartbeat_timer_ = loop_.schedule_at(loop_.now() + kHeartbeat, [this] {
      for (const auto& peer : server.peers)
        peer->write(heartbeat());
      schedule_heartbeat();
    });
  }
};

// A client that asks again on a new connection when its old one has ended without an answer, as the
// platform's front does.
class Tablet final : public net::BufferedConnection {
 public:
  Tablet(InvokerFixture& world, const std::string& address)
      : BufferedConnection(world.loop, world.pool, net::connect_to(address).socket, true) {}
  void call(int number, const std::string& call_class, const std::string& body, int allow = 800,
            std::uint64_t function = 0xa1) {
    const std::string tag = std::to_string(number);
    std::string out;
    const std::string fields = "ref=" + net::hex16(std::hash<std::string>()(body + tag)) +
                               ",allow=" + std::to_string(allow) + ",lookup=" + net::hex16(function);
    resp::write_array(out, {"CALL", tag, call_class, fields, body});
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
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override {
    std::vector<resp::Words> answers;
    REQUIRE(parser_.parse(bytes, answers));
    for (const auto& words : answers) {
      const auto asked = open.find(words.at(0));
      REQUIRE(asked != open.end());
      if (words.at(1) == "OK")
        CHECK(words.at(3) == asked->second);
      got.emplace_back(words.at(1), asked->second);
      open.erase(asked);
    }
  }
  void on_closed() override {
    closed = true;
    ended_at = loop().now();
  }
};

struct Service {
  Folder folder;
  InvokerFixture world{2};
  ChangeLog log{world};
  net::Socket listener = net::listen_on("127.0.0.1:0");
  std::string listen = net::bound_address(listener), config = folder.path + "/config.json";
  std::list<std::string> consoles;
  std::list<Process> processes;
  explicit Service(bool inherited = true) : inherited_(inherited) {
    for (std::size_t i = 0; i < 2; ++i)
      tell(i, "ready");
    if (!inherited)
      listener = net::Socket();
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
    if (inherited_)
      environment["BALANCER_LISTEN_FD"] = "3";
    for (const auto& [name, value] : more)
      environment[name] = value;
    processes.emplace_back(folder.path + "/log" + std::to_string(processes.size()), environment,
                           inherited_ ? &listener : nullptr);
    return processes.back();
  }
  template <typename Until>
  bool until(const Until& done) {
    const auto give_up = world.loop.now() + Millis(30000);
    while (world.loop.now() < give_up) {
      if (done())
        return true;  // asked once: some of what is asked sends calls
      world.turn();
    }
    return false;
  }
  // The status of an answer at the admin endpoint; 0 if nobody opens.
  int ask(const std::string& console, const std::string& method, const std::string& path) {
    const std::string got = answer(console, method, path);
    return got.size() < 12 ? 0 : std::stoi(got.substr(9, 3));
  }
  // The body of an answer; empty if there is none.
  std::string get(const std::string& console, const std::string& path) {
    const std::string got = answer(console, "GET", path);
    const auto head = got.find("\r\n\r\n");
    return head == std::string::npos ? std::string() : got.substr(head + 4);
  }
  bool ready(const std::string& console) {
    return until([&] { return ask(console, "GET", "/-/ready") == 200; });
  }
  int post(const std::string& console, const std::string& path) { return ask(console, "POST", path); }
  int runs(const std::string& body) const {
    int all = 0;
    for (const auto& one : world.host)
      all += one->runs.count(body) == 0 ? 0 : one->runs.at(body);
    return all;
  }
  // Calls one after the other; how many each host has run of them.
  std::vector<int> serve(int calls, const std::string& call_class = "bin-check") {
    const int before[] = {world.host[0]->execs, world.host[1]->execs};
    Tablet tablet(world, listen);
    for (int i = 1; i <= calls; ++i) {
      tablet.call(i, call_class, call_class + std::to_string(++bodies_));
      REQUIRE(until([&] { return tablet.open.empty() || tablet.closed; }));
    }
    CHECK(tablet.got.size() == static_cast<std::size_t>(calls));
    return {world.host[0]->execs - before[0], world.host[1]->execs - before[1]};
  }

 private:
  bool inherited_;
  std::string answer(const std::string& console, const std::string& method, const std::string& path) {
    class Call final : public net::BufferedConnection {
     public:
      Call(InvokerFixture& world, const std::string& address)
          : BufferedConnection(world.loop, world.pool, net::connect_to(address).socket, true) {}
      std::string got;
      bool closed = false;

     private:
      void on_connected() override { loop().flush_later(*this); }
      void on_received(std::string_view bytes) override { got += bytes; }
      void on_closed() override { closed = true; }
    } call(world, console);
    call.write(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(until([&] { return call.closed; }));
    return call.got;
  }
  int bodies_ = 0;
};

}  // namespace lotusyard::test
