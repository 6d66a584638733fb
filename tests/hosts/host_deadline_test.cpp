// The timeout that a host is sent is at most the time that the client has left, however late the client's
// bytes were read, a disk answered, or the connection had room. Checked at the host, when it has the complete
// call.
#include <dirent.h>
#include <netinet/in.h>

#include "support/raw_client.h"
#include "support/service_harness.h"

namespace lotusyard::test {
namespace {

constexpr Millis kClientTimeout{1000};  // of each call
constexpr Millis kTolerance{150};       // for the time that reading and writing take

// The timeout in the latest call that the host got.
Millis sent_timeout(const StandInHost& host) {
  constexpr std::string_view kTimeoutField = "patience=";
  const std::string& fields = host.fields.back();
  const auto position = fields.find(kTimeoutField);
  REQUIRE(position != std::string::npos);
  return Millis(std::stod(fields.substr(position + kTimeoutField.size())));
}

// The largest difference between the timeout that a host was sent and the time that the client had left.
struct Excess {
  Millis client_sent_at{0};  // 0: calls are counted only
  Millis largest{-1e9};
  int calls = 0;

  void watch(const net::EventLoop& loop, StandInHost& host) {
    host.handler = [this, &loop, &host](const std::string&) {
      ++calls;
      if (client_sent_at.count() > 0) {
        const Millis time_left = kClientTimeout - (loop.now() - client_sent_at);
        largest = std::max(largest, sent_timeout(host) - time_left);
      }
      return Reaction();
    };
  }
};

// Found in review: a call's time began with the iteration of the event loop that read it.
TEST_CASE("time that a call is unread in a long iteration counts against its timeout") {
  RespFixture service(1);
  const auto usual = connect_host(service);
  Excess excess;
  excess.watch(service.invoker.loop, *service.invoker.host[0]);
  RawClient client(service);
  run_once_with(service.invoker, [&] {
    excess.client_sent_at = service.invoker.loop.now();
    client.send(call_bytes(1));
    usleep(300000);
  });
  run_iterations(service);
  REQUIRE(excess.calls == 1);
  CHECK(excess.largest.count() < kTolerance.count());
}

TEST_CASE("time of earlier iterations counts for calls behind more bytes than one iteration reads") {
  RespFixture service(1);
  const auto usual = connect_host(service);
  Excess excess;
  excess.watch(service.invoker.loop, *service.invoker.host[0]);
  RawClient client(service);
  std::string many;
  for (int tag = 1; tag <= 24; ++tag)
    many += call_bytes(tag, std::string(16000, 'x'));
  run_once_with(service.invoker, [&] {
    excess.client_sent_at = service.invoker.loop.now();
    client.send(many);
  });
  for (int i = 0; i < 8; ++i)
    run_once_with(service.invoker, [] { usleep(100000); });
  REQUIRE(excess.calls > 8);
  CHECK(excess.largest.count() < kTolerance.count());
}

TEST_CASE("time until its connection is accepted counts against the timeout of a call") {
  RespFixture service(1);
  const auto usual = connect_host(service);
  Excess excess;
  excess.watch(service.invoker.loop, *service.invoker.host[0]);
  net::Socket socket;
  run_once_with(service.invoker, [&] {
    excess.client_sent_at = service.invoker.loop.now();
    socket = net::connect_to(service.front_end.address()).socket;
    const std::string bytes = call_bytes(1);
    REQUIRE(::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
    usleep(300000);
  });
  run_iterations(service);
  REQUIRE(excess.calls == 1);
  CHECK(excess.largest.count() < kTolerance.count());
}

TEST_CASE("a client that was idle for long has its whole timeout when it calls") {
  RespFixture service(1);
  const auto usual = connect_host(service);
  Excess excess;
  excess.watch(service.invoker.loop, *service.invoker.host[0]);
  RawClient client(service);
  const Millis until = service.invoker.loop.now() + Millis(400);
  service.invoker.run_until([&] { return service.invoker.loop.now() >= until; });
  excess.client_sent_at = service.invoker.loop.now();
  client.send(call_bytes(1));
  run_iterations(service);
  REQUIRE(excess.calls == 1);
  CHECK(excess.largest.count() > -100);
}

// Found in review: a process that had been stopped took a waiting call for one that had just arrived.
TEST_CASE("time that the process is stopped counts against the timeout of a call") {
  ServiceHarness service(false);
  Process& process = service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  REQUIRE(service.run_until([&] { return service.change_log.requests == 1; }));
  Excess excess;
  for (auto& host : service.fixture.host)
    excess.watch(service.fixture.loop, *host);
  ServiceClient client(service.fixture, service.listen);
  client.call(1, "bin-record", "first", 1000);
  REQUIRE(service.run_until([&] { return client.open_calls.empty(); }));
  const auto pass = [&](double ms) {
    const Millis end = service.fixture.loop.now() + Millis(ms);
    while (service.fixture.loop.now() < end)
      service.fixture.run_once();
  };
  pass(300);  // the process waits in poll(2)
  process.signal(SIGSTOP);
  excess.client_sent_at = service.fixture.loop.now();
  client.call(2, "bin-record", "second", 1000);
  pass(500);
  process.signal(SIGCONT);
  REQUIRE(service.run_until([&] { return client.open_calls.empty(); }));
  REQUIRE(excess.calls == 2);
  CHECK(excess.largest.count() < kTolerance.count());
}

// Found in review: an attempt's timeout was counted from when its call's record was on the disk.
TEST_CASE("time to record an attempt counts against its timeout") {
  class SlowDisk final : public core::FrontEnd {
    void answer(core::CallId, core::Answer&&) override {}
    bool before_attempt(core::CallId) override { return usleep(300000) == 0; }
  } front;
  RespFixture service(1);
  const auto usual = connect_host(service);
  Excess excess;
  excess.watch(service.invoker.loop, *service.invoker.host[0]);
  core::Call call;
  call.ref = net::hex16(7);
  call.class_name = "bin-record";
  call.function_name = net::hex16(0xa1);
  call.function = 0xa1;
  call.arrived = excess.client_sent_at = service.invoker.loop.now();
  call.timeout = kClientTimeout;
  REQUIRE_FALSE(
      service.invoker.dispatcher.admit(service.invoker.dispatcher.allocate_call_id(), std::move(call), front)
          .has_value());
  run_iterations(service);
  REQUIRE(excess.calls == 1);
  CHECK(excess.largest.count() < kTolerance.count());
}

using SocketNameFunction = int (*)(int, sockaddr*, socklen_t*);  // getsockname or getpeername

bool has_address(int fd, SocketNameFunction get_name, const std::string& address) {
  sockaddr_in found{};
  socklen_t size = sizeof found;
  if (get_name(fd, reinterpret_cast<sockaddr*>(&found), &size) != 0 || found.sin_family != AF_INET)
    return false;
  return "127.0.0.1:" + std::to_string(ntohs(found.sin_port)) == address;
}

// Sets the smallest socket buffers, for the listener at the address and for connections to it.
void shrink_socket_buffers(const std::string& address) {
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir("/proc/self/fd"), &closedir);
  int shrunk = 0;
  while (const dirent* entry = readdir(folder.get())) {
    const int fd = std::atoi(entry->d_name);
    const int smallest = 1;
    if (!has_address(fd, &getsockname, address) && !has_address(fd, &getpeername, address))
      continue;
    REQUIRE(setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &smallest, sizeof smallest) == 0);
    REQUIRE(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof smallest) == 0);
    ++shrunk;
  }
  REQUIRE(shrunk > 0);
}

// Found in review: calls were queued in a connection behind bytes that the host did not read, with the
// timeout that they had when they were queued.
TEST_CASE("no call is queued behind bytes that its host does not read") {
  net::EventLoop host_loop;
  const auto run_host = [&] { host_loop.run_once(host_loop.now(), [] {}); };
  RespFixture service(0);
  service.invoker.host.push_back(std::make_unique<StandInHost>(host_loop, service.invoker.pool));
  StandInHost& host = *service.invoker.host[0];
  shrink_socket_buffers(host.server.address());
  service.invoker.update_hosts(lotusyard::policy::HostState::ready);
  Excess excess;
  excess.watch(host_loop, host);
  const auto run_both = [&] {
    service.invoker.run_once();
    run_host();
  };
  RawClient usual(service), client(service);
  usual.send(call_bytes(100));
  for (int i = 0; i < 100 && usual.answers().empty(); ++i)
    run_both();
  REQUIRE(excess.calls == 1);
  shrink_socket_buffers(host.server.address());
  excess.client_sent_at = service.invoker.loop.now();
  std::string many;
  for (int tag = 1; tag <= 24; ++tag)
    many += call_bytes(tag, std::string(16000, 'x'));
  client.send(many);
  while (service.invoker.loop.now() < excess.client_sent_at + Millis(60))
    service.invoker.run_once();
  // One call is split; all others can still be checked, and withdrawn.
  CHECK(service.invoker.dispatcher.open_calls() > 8);
  CHECK(service.invoker.pool.blocks_in_use() <= 2);
  CHECK(service.invoker.counters.value("hosts.stuck_calls") == 0);
  while (service.invoker.loop.now() < excess.client_sent_at + Millis(200))
    service.invoker.run_once();
  CHECK(service.invoker.counters.value("hosts.stuck_calls") == 1);
}

}  // namespace
}  // namespace lotusyard::test
