// A host on loopback that serves calls, or misbehaves as a test tells it.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hosts/line_parser.h"
#include "net/buffered_connection.h"
#include "support/loopback_server.h"

namespace lotusyard::test {

// What a stand-in host does with one exec. `stall`: half an answer, and then nothing more on that connection.
struct Reaction {
  enum Kind { reply, silence, half, hang_up, stall, twice, stranger, noise } kind = reply;
  std::string word = "data";
  std::size_t length = 0;  // of the answer's body; 0: the request's, unchanged
};

class StandInHost {
 public:
  StandInHost(net::EventLoop& loop, net::BufferPool& pool, const std::string& address = "127.0.0.1:0")
      : server(loop, pool, *this, address) {}
  class Peer final : public net::BufferedConnection {
   public:
    Peer(StandInHost& host, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), host_(host) {}

    bool stalled = false;

   private:
    StandInHost& host_;
    hosts::LineParser parser_;  // its requests have the form of its answers, with the verb first
    void on_received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      REQUIRE(parser_.parse(bytes, lines));
      for (const auto& line : lines)
        host_.take(*this, line);
    }
    void on_closed() override { host_.server.gone(*this); }
  };
  Server<Peer, StandInHost> server;
  std::function<Reaction(const std::string& body)> handler = [](const std::string&) { return Reaction(); };
  std::map<std::string, int> runs;                            // by body: execs that may have run
  int execs = 0, drops = 0, orders = 0, signs = 0, asks = 0;  // asks: orders for no copy
  std::vector<std::string> fields;                            // of each exec
  bool mute = false;                                          // asked for a sign it gives none, as if cut off
  bool draining = false;  // turns new calls and loads away, and says so when asked for its health
  std::function<void(const hosts::Reply&)> on_request = [](const hosts::Reply&) {};  // before it is handled

 private:
  void take(Peer& peer, const hosts::Reply& line) {
    on_request(line);
    if (line.id == "drop")
      ++drops;
    if (peer.stalled)
      return;
    if (line.id == "health")
      ++signs;
    if (line.id == "health" && !mute)
      peer.write(line.word + (draining ? " ill" : " well") + " - 0\r\n\r\n");
    if (line.id == "load")
      peer.write(line.word + (draining ? " ill" : " well") + " l=inflight:1;util:0.5 0\r\n\r\n");
    if (line.id == "ensure") {
      const bool asks_only = line.fields.find("count=0") != std::string::npos;
      ++(asks_only ? asks : orders);
      if (asks_only && mute)
        return;
      peer.write(line.word + (draining && !asks_only ? " full count=0\r\n" : " data count=1\r\n"));
    }
    if (line.id != "exec")
      return;
    ++execs;
    fields.push_back(line.fields);
    const Reaction reaction = draining ? Reaction{Reaction::reply, "full", 0} : handler(line.body);
    if (reaction.kind != Reaction::reply || reaction.word == "data" || reaction.word == "failed")
      ++runs[line.body];
    const std::string body = reaction.length == 0 ? line.body : std::string(reaction.length, 'x');
    const std::string whole = line.word + ' ' + reaction.word + " l=inflight:1;util:0.5 " +
                              std::to_string(body.size()) + "\r\n" + body + "\r\n";
    if (reaction.kind == Reaction::stranger)
      peer.write("00000000000000ff data - 1\r\nx\r\n");
    if (reaction.kind == Reaction::noise)
      peer.write(line.word + " d\x01ta =,= 3\r\nxyz\r\n");
    if (reaction.kind == Reaction::twice)
      peer.write(whole);
    if (reaction.kind <= Reaction::reply || reaction.kind >= Reaction::twice)
      peer.write(whole);
    peer.stalled = reaction.kind == Reaction::stall;
    if (peer.stalled)
      peer.write(whole.substr(0, whole.size() / 2));
    if (reaction.kind == Reaction::half)
      peer.write(whole.substr(0, whole.size() / 2));
    if (reaction.kind == Reaction::half)
      peer.flush_now();
    if (reaction.kind == Reaction::half || reaction.kind == Reaction::hang_up)
      peer.close_later();
  }
};

}  // namespace lotusyard::test
