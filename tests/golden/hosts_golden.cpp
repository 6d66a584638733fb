// The hosts' protocol: what goes to a host, byte for byte, and its replies as they are read.
#include <regex>

#include "golden/golden_part.h"
#include "golden/recording_client.h"

namespace lotusyard::golden {
namespace {

constexpr std::uint64_t kFunction = 0xa2;
constexpr int kTurnsMost = 1000;  // each waits for 20 ms at most

// A host that keeps what it is sent, and never answers.
class SilentHost {
 public:
  class Peer final : public net::BufferedConnection {
   public:
    Peer(SilentHost& host, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), host_(host) {}

   private:
    SilentHost& host_;
    void on_received(std::string_view bytes) override { host_.received += bytes; }
    void on_closed() override { host_.server.gone(*this); }
  };
  SilentHost(net::EventLoop& loop, net::BufferPool& pool) : server(loop, pool, *this) {}
  test::Server<Peer, SilentHost> server;
  std::string received;
};

class NoFront final : public core::FrontEnd {
  void answer(core::CallId, core::Answer&&) override {}
};

core::Settings plain_settings() {
  core::Settings out = patient_settings();
  out.load_orders.allowed = out.host_protocol.accepts_probes = out.host_protocol.answers_misses = false;
  return out;
}

class Connection {
 public:
  explicit Connection(hosts::LivenessProbe liveness = hosts::LivenessProbe::none)
      : world(0, plain_settings(), limits(liveness)), host_(world.loop, world.pool) {
    core::ListedHost member;
    member.entry.host = "h0";
    member.address = host_.server.address();
    world.fleet.update_endpoints({true, {member}});
    world.dispatcher.update_endpoints({core::ListKind::full, {member.entry}});
  }
  test::InvokerFixture world;

  core::CallId call(const std::string& key) {
    core::Call call;
    call.ref = "00000000000000a1";
    call.class_name = "bin-check";
    call.function = kFunction;
    call.function_name = "00000000000000a2";
    call.key = key;
    call.lanes = 1;
    call.memory_mb = 300;
    call.arrived = world.loop.now();
    call.timeout = core::Millis(60000);
    call.body = std::string("bo\0dy", 5);
    const core::CallId id = world.dispatcher.allocate_call_id();
    REQUIRE_FALSE(world.dispatcher.admit(id, std::move(call), front_).has_value());
    return id;
  }
  // What the host was sent up to `end`; the time that a call has left differs from run to run.
  std::string sent(const std::string& end) {
    const std::string& got = host_.received;
    const bool in_time = world.run_until([&] { return got.find(end) != std::string::npos; }, kTurnsMost);
    INFO(got);
    REQUIRE(in_time);
    const std::string whole = got.substr(0, got.find(end) + end.size());
    return std::regex_replace(whole, std::regex("patience=[0-9]+"), "patience=N");
  }

 private:
  SilentHost host_;
  NoFront front_;

  static hosts::Limits limits(hosts::LivenessProbe liveness) {
    hosts::Limits out = test::InvokerFixture::limits();
    out.liveness = liveness;
    return out;
  }
};

std::string attempt(const std::string& key) {
  Connection connection;
  connection.call(key);
  return connection.sent("dy\r\n");
}

std::string cancelled_attempt() {
  Connection connection;
  const core::CallId id = connection.call("");
  connection.sent("dy\r\n");
  connection.world.dispatcher.client_disconnected(id);
  return connection.sent("drop 00000000000000a1\r\n");
}

std::string liveness_check(hosts::LivenessProbe kind, const std::string& end) {
  Connection connection(kind);
  connection.call("");
  return connection.sent(end);
}

std::string without_call(const std::function<void(hosts::HostConnectionPool&)>& order) {
  Connection connection;
  order(connection.world.fleet);
  return connection.sent("\r\n");
}

std::string reencode_reply(const std::string& bytes) {
  hosts::LineParser parser;
  std::vector<hosts::Reply> out;
  if (!parser.parse(bytes, out) || out.size() != 1)
    throw std::runtime_error("it isn't one whole reply");
  const hosts::Reply& reply = out.front();
  return reply.id + ' ' + reply.word + ' ' + (reply.fields.empty() ? "-" : reply.fields) + ' ' +
         std::to_string(reply.body.size()) + "\r\n" + reply.body + "\r\n";
}

}  // namespace

Part hosts_part() {
  using hosts::LivenessProbe;
  const auto ensure = [](int copies) {
    return without_call(
        [copies](hosts::HostConnectionPool& fleet) { fleet.load_copies("h0", kFunction, copies); });
  };
  return {
      "hosts",
      {{"exec", attempt(""), {}},
       {"exec with a key", attempt("key-1"), {}},
       {"exec and drop", cancelled_attempt(), {}},
       {"ensure", ensure(2), {}},
       {"ensure asks", ensure(0), {}},
       {"load", without_call([](hosts::HostConnectionPool& fleet) { fleet.probe("h0"); }), {}},
       {"release", without_call([](hosts::HostConnectionPool& fleet) { fleet.unload("h0", kFunction); }), {}},
       {"exec and health", liveness_check(LivenessProbe::health, "health s1\r\n"), {}},
       {"exec and liveness order", liveness_check(LivenessProbe::order, "count=0\r\n"), {}},
       {"reply", "00000000000000a1 data l=inflight:1;util:0.5 5\r\nbo\x01\xff\n\r\n", reencode_reply},
       {"reply without fields", "p1 well - 0\r\n\r\n", reencode_reply}}};
}

}  // namespace lotusyard::golden
