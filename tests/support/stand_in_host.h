// A stand-in for a host on loopback, which serves calls or fails as a test configures it.
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

// How a stand-in host reacts to one exec request.
struct Reaction {
  enum Kind {
    reply,
    silence,          // no reply
    partial_reply,    // half a reply, then the connection closes
    hang_up,          // the connection closes without a reply
    stall,            // half a reply, then nothing more on this connection
    missing_length,   // the blank ahead of the length arrives as another character
    duplicate_reply,  // the reply is sent twice
    unknown_call,     // a reply to a call that was not sent to this host comes first
    malformed_reply   // a malformed reply to this call comes first
  } kind = reply;
  std::string word = "data";
  std::size_t length = 0;  // of the reply's body; 0: the request's body is returned
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
    hosts::LineParser parser_;  // requests have the form of replies, with the verb in place of the status
    void on_received(std::string_view bytes) override {
      std::vector<hosts::Reply> lines;
      REQUIRE(parser_.parse(bytes, lines));
      for (const auto& line : lines)
        host_.handle_request(*this, line);
    }
    void on_closed() override { host_.server.remove(*this); }
  };
  LoopbackServer<Peer, StandInHost> server;
  std::function<Reaction(const std::string& body)> handler = [](const std::string&) { return Reaction(); };
  std::map<std::string, int> runs;  // execs that may have run, by body
  int execs = 0, cancels = 0, health_checks = 0;
  int load_orders = 0, instance_queries = 0;  // a query is a load order for no instance
  std::vector<std::string> fields;            // of each exec request
  bool ignores_checks = false;  // answers neither health checks nor instance queries, as if disconnected
  bool draining = false;        // rejects new calls and loads, and reports itself as unhealthy
  // Called before a request is handled.
  std::function<void(const hosts::Reply&)> on_request = [](const hosts::Reply&) {};

 private:
  static std::string without_length(std::string reply) {
    reply[reply.rfind(' ', reply.find("\r\n"))] = ';';
    return reply;
  }
  void handle_request(Peer& peer, const hosts::Reply& line) {
    on_request(line);
    if (line.id == "drop")
      ++cancels;
    if (peer.stalled)
      return;
    if (line.id == "health")
      ++health_checks;
    if (line.id == "health" && !ignores_checks)
      peer.write(line.word + (draining ? " ill" : " well") + " - 0\r\n\r\n");
    if (line.id == "load")
      peer.write(line.word + (draining ? " ill" : " well") + " l=inflight:1;util:0.5 0\r\n\r\n");
    if (line.id == "ensure") {
      const bool is_query = line.fields.find("count=0") != std::string::npos;
      ++(is_query ? instance_queries : load_orders);
      if (is_query && ignores_checks)
        return;
      peer.write(line.word + (draining && !is_query ? " full count=0" : " data count=1") + " 0\r\n\r\n");
    }
    if (line.id != "exec")
      return;
    ++execs;
    const std::string request_body = line.body.value();
    fields.push_back(line.fields);
    const Reaction reaction = draining ? Reaction{Reaction::reply, "full", 0} : handler(request_body);
    if (reaction.kind != Reaction::reply || reaction.word == "data" || reaction.word == "failed")
      ++runs[request_body];
    const std::string body = reaction.length == 0 ? request_body : std::string(reaction.length, 'x');
    const std::string complete_reply = line.word + ' ' + reaction.word + " l=inflight:1;util:0.5 " +
                                       std::to_string(body.size()) + "\r\n" + body + "\r\n";
    if (reaction.kind == Reaction::unknown_call)
      peer.write("00000000000000ff data - 1\r\nx\r\n");
    if (reaction.kind == Reaction::malformed_reply)
      peer.write(line.word + " d\x01ta =,= 3\r\nxyz\r\n");
    if (reaction.kind == Reaction::missing_length)
      peer.write(without_length(complete_reply));
    if (reaction.kind == Reaction::duplicate_reply)
      peer.write(complete_reply);
    if (reaction.kind <= Reaction::reply || reaction.kind >= Reaction::duplicate_reply)
      peer.write(complete_reply);
    peer.stalled = reaction.kind == Reaction::stall;
    if (peer.stalled)
      peer.write(complete_reply.substr(0, complete_reply.size() / 2));
    if (reaction.kind == Reaction::partial_reply)
      peer.write(complete_reply.substr(0, complete_reply.size() / 2));
    if (reaction.kind == Reaction::partial_reply)
      peer.flush_now();
    if (reaction.kind == Reaction::partial_reply || reaction.kind == Reaction::hang_up)
      peer.close_later();
  }
};

}  // namespace lotusyard::test
