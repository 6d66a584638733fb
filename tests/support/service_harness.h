// Starts invoker processes with a stand-in change log and stand-in hosts, and calls and queries them.
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

// Encodes text for use in a URL path.
inline std::string percent_encoded(const std::string& text) {
  std::string out;
  for (const char c : text) {
    char code[4];
    std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned char>(c));
    out += std::isalnum(static_cast<unsigned char>(c)) != 0 ? std::string(1, c) : std::string(code);
  }
  return out;
}

// An address that no process listens on. Its port is below the ephemeral range, so that no outgoing
// connection takes it before the process that will listen there has started.
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

// A stand-in for the change log of discovery.
class StandInChangeLog {
 public:
  // The protocol's heartbeat: the last sequence number alone. Without it the list counts as unconfirmed.
  static constexpr Millis kHeartbeat{1000};

  explicit StandInChangeLog(InvokerFixture& f) : server(f.loop, f.pool, *this), loop_(f.loop) {
    schedule_heartbeat();
  }
  ~StandInChangeLog() { loop_.cancel(heartbeat_timer_); }
  StandInChangeLog(const StandInChangeLog&) = delete;
  StandInChangeLog& operator=(const StandInChangeLog&) = delete;
  class Peer final : public net::BufferedConnection {
   public:
    Peer(StandInChangeLog& log, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), log_(log) {}

   private:
    StandInChangeLog& log_;
    void on_received(std::string_view) override {
      ++log_.requests;
      for (const auto& line : log_.lines)
        write(line);  // the reader skips the events that it has
      write(log_.heartbeat());
    }
    void on_closed() override { log_.server.remove(*this); }
  };
  void publish_host(const std::string& id, const std::string& address, const std::string& phase,
                    double started = 0) {
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
  int requests = 0;
  std::vector<std::string> lines;
  LoopbackServer<Peer, StandInChangeLog> server;

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

// A client of an invoker process. A test can repeat its open calls on a new connection once it is closed.
class ServiceClient final : public net::BufferedConnection {
 public:
  ServiceClient(InvokerFixture& fixture, const std::string& address)
      : BufferedConnection(fixture.loop, fixture.pool, net::connect_to(address).socket, true) {}
  void call(int number, const std::string& call_class, const std::string& body, int allow = 800,
            std::uint64_t function = 0xa1) {
    const std::string tag = std::to_string(number);
    std::string out;
    const std::string fields = "ref=" + net::hex16(std::hash<std::string>()(body + tag)) +
                               ",allow=" + std::to_string(allow) + ",lookup=" + net::hex16(function);
    resp::write_array(out, {"CALL", tag, call_class, fields, body});
    open_calls.emplace(tag, body);
    sent_at = loop().now();
    write(out);
  }
  std::map<std::string, std::string> open_calls;             // bodies by tag
  std::vector<std::pair<std::string, std::string>> results;  // result word and request body
  bool closed = false;
  Millis sent_at{0}, closed_at{0};

 private:
  resp::Parser parser_;
  void on_connected() override { loop().flush_later(*this); }
  void on_received(std::string_view bytes) override {
    std::vector<resp::Words> answers;
    REQUIRE(parser_.parse(bytes, answers));
    for (const auto& words : answers) {
      const auto call = open_calls.find(words.at(0));
      REQUIRE(call != open_calls.end());
      if (words.at(1) == "OK")
        CHECK(words.at(3) == call->second);
      results.emplace_back(words.at(1), call->second);
      open_calls.erase(call);
    }
  }
  void on_closed() override {
    closed = true;
    closed_at = loop().now();
  }
};

struct ServiceHarness {
  TemporaryFolder folder;
  InvokerFixture fixture{2};  // its event loop and stand-in hosts
  StandInChangeLog change_log{fixture};
  net::Socket listener = net::listen_on("127.0.0.1:0");
  std::string listen = net::bound_address(listener), config = folder.path + "/config.json";
  std::list<std::string> admin_endpoints;
  std::list<Process> processes;
  explicit ServiceHarness(bool inherits_listener = true) : inherits_listener_(inherits_listener) {
    for (std::size_t i = 0; i < 2; ++i)
      announce_host(i, "ready");
    if (!inherits_listener)
      listener = net::Socket();
    write_config(invoker_config(listen, change_log.server.address()));
  }
  void write_config(const nlohmann::json& file) { std::ofstream(config, std::ios::trunc) << file.dump(); }
  void announce_host(std::size_t host, const std::string& phase, double started = 0) {
    change_log.publish_host("h" + std::to_string(host), fixture.host[host]->server.address(), phase, started);
  }
  Process& start(const std::map<std::string, std::string>& more = {}) {
    admin_endpoints.push_back(free_address());
    std::map<std::string, std::string> environment = {
        {"BALANCER_CONFIG", config}, {"BALANCER_CONSOLE", admin_endpoints.back()}, {"TMPDIR", folder.path}};
    if (inherits_listener_)
      environment["BALANCER_LISTEN_FD"] = "3";
    for (const auto& [name, value] : more)
      environment[name] = value;
    processes.emplace_back(folder.path + "/log" + std::to_string(processes.size()), environment,
                           inherits_listener_ ? &listener : nullptr);
    return processes.back();
  }
  template <typename Until>
  bool run_until(const Until& done) {
    const auto give_up = fixture.loop.now() + Millis(30000);
    while (fixture.loop.now() < give_up) {
      if (done())
        return true;  // `done` may send calls: it is not evaluated again once it is true
      fixture.run_once();
    }
    return false;
  }
  // The status of an HTTP response of the admin endpoint; 0 if there is none.
  int request(const std::string& admin_endpoint, const std::string& method, const std::string& path) {
    const std::string text = response(admin_endpoint, method, path);
    return text.size() < 12 ? 0 : std::stoi(text.substr(9, 3));
  }
  // The body of a response; empty if there is none.
  std::string get(const std::string& admin_endpoint, const std::string& path) {
    const std::string text = response(admin_endpoint, "GET", path);
    const auto head = text.find("\r\n\r\n");
    return head == std::string::npos ? std::string() : text.substr(head + 4);
  }
  bool wait_until_ready(const std::string& admin_endpoint) {
    return run_until([&] { return request(admin_endpoint, "GET", "/-/ready") == 200; });
  }
  int post(const std::string& admin_endpoint, const std::string& path) {
    return request(admin_endpoint, "POST", path);
  }
  int runs(const std::string& body) const {
    int all = 0;
    for (const auto& one : fixture.host)
      all += one->runs.count(body) == 0 ? 0 : one->runs.at(body);
    return all;
  }
  // Sends calls one after the other. Returns how many of them each host ran.
  std::vector<int> run_calls(int calls, const std::string& call_class = "bin-check") {
    const int before[] = {fixture.host[0]->execs, fixture.host[1]->execs};
    ServiceClient client(fixture, listen);
    for (int i = 1; i <= calls; ++i) {
      client.call(i, call_class, call_class + std::to_string(++bodies_));
      REQUIRE(run_until([&] { return client.open_calls.empty() || client.closed; }));
    }
    CHECK(client.results.size() == static_cast<std::size_t>(calls));
    return {fixture.host[0]->execs - before[0], fixture.host[1]->execs - before[1]};
  }

 private:
  bool inherits_listener_;
  std::string response(const std::string& endpoint, const std::string& method, const std::string& path) {
    class Request final : public net::BufferedConnection {
     public:
      Request(InvokerFixture& fixture, const std::string& address)
          : BufferedConnection(fixture.loop, fixture.pool, net::connect_to(address).socket, true) {}
      std::string received;
      bool closed = false;

     private:
      void on_connected() override { loop().flush_later(*this); }
      void on_received(std::string_view bytes) override { received += bytes; }
      void on_closed() override { closed = true; }
    } request(fixture, endpoint);
    request.write(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(run_until([&] { return request.closed; }));
    return request.received;
  }
  int bodies_ = 0;
};

}  // namespace lotusyard::test
