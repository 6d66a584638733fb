// A stand-in for a host of the second site: it loads a missing function while the call waits, drops repeats
// of a key for a time, ignores cancels, is slowed by other programs and loses connections. Every run is
// counted.
#pragma once

#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hosts/line_parser.h"
#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "net/fields.h"
#include "support/invoker_fixture.h"
#include "support/loopback_server.h"
#include "support/random_input.h"

namespace lotusyard::test {

constexpr Millis kLoadTime{60};
constexpr Millis kRunTime{8};
constexpr Millis kKeyWindow{700};  // how long hosts recognise a repeated key

// What ran on all hosts together.
struct RunCounts {
  std::map<std::string, Millis> key_received_at;  // the first time within the key's window
  std::map<std::string, int> by_key;
  std::map<std::string, int> by_body;
  int dropped_repeats = 0;
  int loads = 0;
  int probes = 0;
  int lost_connections = 0;
};

class SecondSiteHost {
 public:
  SecondSiteHost(InvokerFixture& fixture, RunCounts& runs, Random& random)
      : server(fixture.loop, fixture.pool, *this), fixture_(fixture), runs_(runs), random_(random) {}

  class Peer final : public net::BufferedConnection {
   public:
    Peer(SecondSiteHost& host, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), host_(host) {}

    const int number = ++last_number;

   private:
    static inline int last_number = 0;

    void on_received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      REQUIRE(parser_.parse(bytes, lines));
      for (const auto& line : lines)
        host_.handle(number, line);
    }
    void on_closed() override { host_.server.remove(*this); }

    SecondSiteHost& host_;
    hosts::LineParser parser_;  // requests have the form of answers, with the verb first
  };

  LoopbackServer<Peer, SecondSiteHost> server;
  double slowdown = 1;  // by other programs on the machine

 private:
  struct Execution {
    int peer;
    std::string ref;
    std::string body;
    std::string key;
    bool is_repeat;
  };

  void handle(int peer, const hosts::Reply& line) {
    if (line.id == "health" || line.id == "load")
      ++runs_.probes;
    if (line.id == "ensure")
      handle_load_order(peer, line);
    if (line.id == "exec")
      handle_call(peer, line);
    // Cancels are ignored.
  }
  void handle_load_order(int peer, const hosts::Reply& line) {
    const auto fields = net::parse_fields(line.fields);
    REQUIRE(fields);
    const std::string tag = line.word;
    const std::string function = net::field(*fields, "asset");
    const bool is_query = net::field(*fields, "count") == "0";
    const Millis answer_at = is_query ? fixture_.loop.now() : load(function);
    const auto loaded = loaded_at_.find(function);
    const bool is_loaded = loaded != loaded_at_.end() && loaded->second <= answer_at;
    const std::string answer = tag + " data count=" + (is_loaded ? "1" : "0") + " 0\r\n\r\n";
    fixture_.loop.schedule_at(answer_at, [this, peer, answer] { write(peer, answer); });
  }
  void handle_call(int peer, const hosts::Reply& line) {
    const auto fields = net::parse_fields(line.fields);
    REQUIRE(fields);
    if (below(random_, 40) == 0)
      return write(peer, line.word + " full - 0\r\n\r\n");
    const std::string key = net::field(*fields, "op");
    const Execution execution{peer, line.word, line.body.value_or(""), key, is_repeat(key)};
    if (!key.empty() && !execution.is_repeat)
      runs_.key_received_at[key] = fixture_.loop.now();
    ++in_flight_;
    const Millis begins = std::max(load(net::field(*fields, "asset")), fixture_.loop.now());
    const Millis ends = begins + kRunTime * slowdown * (1.0 + static_cast<double>(below(random_, 3)));
    fixture_.loop.schedule_at(ends, [this, execution] { finish(execution); });
  }
  void finish(const Execution& execution) {
    --in_flight_;
    if (execution.is_repeat)
      ++runs_.dropped_repeats;
    else
      count_run(execution);
    write(execution.peer, execution.ref + " data l=inflight:" + std::to_string(in_flight_) +
                              ";x0:0.2;x1:0,crowd=1 " + std::to_string(execution.body.size()) + "\r\n" +
                              execution.body + "\r\n");
  }
  void count_run(const Execution& execution) {
    ++runs_.by_body[execution.body];
    if (!execution.key.empty())
      ++runs_.by_key[execution.key];
  }
  bool is_repeat(const std::string& key) const {
    if (key.empty())
      return false;
    const auto found = runs_.key_received_at.find(key);
    return found != runs_.key_received_at.end() && fixture_.loop.now() - found->second < kKeyWindow;
  }
  // Returns when an instance of the function is loaded; starts a load if there is none.
  Millis load(const std::string& function) {
    const auto [instance, is_new] = loaded_at_.emplace(function, fixture_.loop.now() + kLoadTime * slowdown);
    if (is_new)
      ++runs_.loads;
    return instance->second;
  }
  // Closes the connection after a write at random; the answer may or may not have been sent.
  void write(int peer, const std::string& text) {
    for (const auto& connection : server.peers) {
      if (connection->number != peer || connection->is_closing())
        continue;
      connection->write(text);
      if (below(random_, 60) != 0)
        return;
      ++runs_.lost_connections;
      return connection->close_later();
    }
  }

  InvokerFixture& fixture_;
  RunCounts& runs_;
  Random& random_;
  std::map<std::string, Millis> loaded_at_;  // by function
  int in_flight_ = 0;
};

}  // namespace lotusyard::test
