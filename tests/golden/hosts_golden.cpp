// The host protocol: requests to a host, byte for byte, and its replies as they are parsed.
#include <regex>

#include "golden/golden_file.h"
#include "golden/recording_client.h"

namespace lotusyard::golden {
namespace {

constexpr std::uint64_t kFunction = 0xa2;
// Iterations of the event loop, of at most 20 ms each, within which the host must receive its bytes.
constexpr int kMaxIterations = 1000;

// A host that records what it receives, and never answers.
class SilentHost {
 public:
  class Peer final : public net::BufferedConnection {
   public:
    Peer(SilentHost& host, net::EventLoop& loop, net::BufferPool& pool, net::Socket socket)
        : BufferedConnection(loop, pool, std::move(socket), false), host_(host) {}

   private:
    SilentHost& host_;
    void on_received(std::string_view bytes) override { host_.received += bytes; }
    void on_closed() override { host_.server.remove(*this); }
  };
  SilentHost(net::EventLoop& loop, net::BufferPool& pool) : server(loop, pool, *this) {}
  test::LoopbackServer<Peer, SilentHost> server;
  std::string received;
};

// A front end for calls that are never answered.
class DiscardingFrontEnd final : public core::FrontEnd {
  void answer(core::CallId, core::Answer&&) override {}
};

core::Settings plain_settings() {
  core::Settings out = long_deadline_settings();
  out.load_orders.allowed = out.host_protocol.accepts_probes = out.host_protocol.answers_misses = false;
  return out;
}

class Connection {
 public:
  explicit Connection(hosts::LivenessProbe liveness = hosts::LivenessProbe::none)
      : fixture(0, plain_settings(), limits(liveness)), host_(fixture.loop, fixture.pool) {
    core::ListedHost endpoint;
    endpoint.entry.host = "h0";
    endpoint.address = host_.server.address();
    fixture.host_pool.update_endpoints({true, {endpoint}});
    fixture.dispatcher.update_endpoints({core::ListKind::full, {endpoint.entry}});
  }
  test::InvokerFixture fixture;

  core::CallId call(const std::string& key) {
    core::Call call;
    call.ref = "00000000000000a1";
    call.class_name = "bin-check";
    call.function = kFunction;
    call.function_name = "00000000000000a2";
    call.key = key;
    call.lanes = 1;
    call.memory_mb = 300;
    call.arrived = fixture.loop.now();
    call.timeout = core::Millis(60000);
    call.body = std::string("bo\0dy", 5);
    const core::CallId id = fixture.dispatcher.allocate_call_id();
    REQUIRE_FALSE(fixture.dispatcher.admit(id, std::move(call), front_end_).has_value());
    return id;
  }
  // Returns what the host received up to `end`. The timeout of a call differs from run to run, so it is
  // replaced.
  std::string sent(const std::string& end) {
    const std::string& received = host_.received;
    const auto has_end = [&] { return received.find(end) != std::string::npos; };
    const bool in_time = fixture.run_until(has_end, kMaxIterations);
    INFO(received);
    REQUIRE(in_time);
    const std::string complete = received.substr(0, received.find(end) + end.size());
    return std::regex_replace(complete, std::regex("patience=[0-9]+"), "patience=N");
  }

 private:
  SilentHost host_;
  DiscardingFrontEnd front_end_;

  static hosts::Limits limits(hosts::LivenessProbe liveness) {
    hosts::Limits out = test::InvokerFixture::limits();
    out.liveness = liveness;
    return out;
  }
};

std::string send_attempt(const std::string& key) {
  Connection connection;
  connection.call(key);
  return connection.sent("dy\r\n");
}

std::string cancel_attempt() {
  Connection connection;
  const core::CallId id = connection.call("");
  connection.sent("dy\r\n");
  connection.fixture.dispatcher.client_disconnected(id);
  return connection.sent("drop 00000000000000a1\r\n");
}

std::string send_liveness_probe(hosts::LivenessProbe kind, const std::string& end) {
  Connection connection(kind);
  connection.call("");
  return connection.sent(end);
}

// Returns what the host receives for a request that is no call.
std::string send_request(const std::function<void(hosts::HostConnectionPool&)>& request) {
  Connection connection;
  request(connection.fixture.host_pool);
  return connection.sent("\r\n");
}

std::string reencode_reply(const std::string& bytes) {
  hosts::LineParser parser;
  std::vector<hosts::Reply> replies;
  if (!parser.parse(bytes, replies) || replies.size() != 1)
    throw std::runtime_error("not exactly one complete reply");
  const hosts::Reply& reply = replies.front();
  const std::string& body = reply.body.value();
  return reply.id + ' ' + reply.word + ' ' + (reply.fields.empty() ? "-" : reply.fields) + ' ' +
         std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

}  // namespace

GoldenFile hosts_golden() {
  using hosts::LivenessProbe;
  const auto load_copies = [](int copies) {
    return send_request(
        [copies](hosts::HostConnectionPool& pool) { pool.load_copies("h0", kFunction, copies); });
  };
  return {
      "hosts",
      {{"exec", send_attempt(""), {}},
       {"exec with a key", send_attempt("key-1"), {}},
       {"exec and drop", cancel_attempt(), {}},
       {"ensure", load_copies(2), {}},
       {"ensure asks", load_copies(0), {}},
       {"load", send_request([](hosts::HostConnectionPool& pool) { pool.probe("h0"); }), {}},
       {"release", send_request([](hosts::HostConnectionPool& pool) { pool.unload("h0", kFunction); }), {}},
       {"exec and health", send_liveness_probe(LivenessProbe::health, "health s1\r\n"), {}},
       {"exec and liveness order", send_liveness_probe(LivenessProbe::order, "count=0\r\n"), {}},
       {"reply", "00000000000000a1 data l=inflight:1;util:0.5 5\r\nbo\x01\xff\n\r\n", reencode_reply},
       {"reply without fields", "p1 well - 0\r\n\r\n", reencode_reply}}};
}

}  // namespace lotusyard::golden
