// The attempt timeout that a host receives is at most the time that the client has left, even if the client's
// bytes were read late, the disk was slow, or the connection had no room. Measured at the host, once it has
// the complete call.
#include <dirent.h>
#include <netinet/in.h>

#include "support/raw_client.h"
#include "support/service_harness.h"

namespace lotusyard::test {
namespace {

constexpr Millis kClientTimeout{1000};  // of each call
constexpr Millis kTolerance{150};       // for reading and writing

// The timeout in the last call that the host received.
Millis sent_timeout(const StandInHost& host) {
  constexpr std::string_view kTimeoutField = "patience=";
  const std::string& fields = host.fields.back();
  const auto position = fields.find(kTimeoutField);
  REQUIRE(position != std::string::npos);
  return Millis(std::stod(fields.substr(position + kTimeoutField.size())));
}

// Measures by how much the timeout that a host received exceeds the time that the client had left, at most.
struct TimeoutExcess {
  Millis client_sent_at{0};  // 0: only counts calls
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

// Guards against counting a call's time only from the start of the event loop iteration that read it.
TEST_CASE("time during which a call is unread in a long iteration counts against its timeout") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  TimeoutExcess timeout_excess;
  timeout_excess.watch(service.invoker.loop, *service.invoker.host[0]);
  RawClient client(service);
  run_once_with(service.invoker, [&] {
    timeout_excess.client_sent_at = service.invoker.loop.now();
    client.send(call_bytes(1));
    usleep(300000);
  });
  run_iterations(service);
  REQUIRE(timeout_excess.calls == 1);
  CHECK(timeout_excess.largest.count() < kTolerance.count());
}

TEST_CASE("time of earlier iterations counts for calls queued behind more bytes than one iteration reads") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  TimeoutExcess timeout_excess;
  timeout_excess.watch(service.invoker.loop, *service.invoker.host[0]);
  RawClient client(service);
  std::string many;
  for (int tag = 1; tag <= 24; ++tag)
    many += call_bytes(tag, std::string(16000, 'x'));
  run_once_with(service.invoker, [&] {
    timeout_excess.client_sent_at = service.invoker.loop.now();
    client.send(many);
  });
  for (int i = 0; i < 8; ++i)
    run_once_with(service.invoker, [] { usleep(100000); });
  REQUIRE(timeout_excess.calls > 8);
  CHECK(timeout_excess.largest.count() < kTolerance.count());
}

TEST_CASE("time until its connection is accepted counts against a call's timeout") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  TimeoutExcess timeout_excess;
  timeout_excess.watch(service.invoker.loop, *service.invoker.host[0]);
  net::Socket socket;
  run_once_with(service.invoker, [&] {
    timeout_excess.client_sent_at = service.invoker.loop.now();
    socket = net::connect_to(service.front_end.address()).socket;
    const std::string bytes = call_bytes(1);
    REQUIRE(::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
    usleep(300000);
  });
  run_iterations(service);
  REQUIRE(timeout_excess.calls == 1);
  CHECK(timeout_excess.largest.count() < kTolerance.count());
}

TEST_CASE("a client that was idle for long has its full timeout when it calls") {
  RespFixture service(1);
  const auto first_client = connect_host(service);
  TimeoutExcess timeout_excess;
  timeout_excess.watch(service.invoker.loop, *service.invoker.host[0]);
  RawClient client(service);
  const Millis until = service.invoker.loop.now() + Millis(400);
  service.invoker.run_until([&] { return service.invoker.loop.now() >= until; });
  timeout_excess.client_sent_at = service.invoker.loop.now();
  client.send(call_bytes(1));
  run_iterations(service);
  REQUIRE(timeout_excess.calls == 1);
  CHECK(timeout_excess.largest.count() > -100);
}

// Guards against treating a call that arrived while the process was stopped as one that has just arrived.
TEST_CASE("time during which the process is stopped counts against a call's timeout") {
  ServiceHarness service(false);
  Process& process = service.start();
  REQUIRE(service.wait_until_ready(service.admin_endpoints.back()));
  REQUIRE(service.run_until([&] { return service.change_log.requests == 1; }));
  TimeoutExcess timeout_excess;
  for (auto& host : service.fixture.host)
    timeout_excess.watch(service.fixture.loop, *host);
  ServiceClient client(service.fixture, service.listen);
  client.call(1, "bin-record", "first", 1000);
  REQUIRE(service.run_until([&] { return client.open_calls.empty(); }));
  const auto run_for = [&](double ms) {
    const Millis end = service.fixture.loop.now() + Millis(ms);
    while (service.fixture.loop.now() < end)
      service.fixture.run_once();
  };
  run_for(300);  // the process then waits in poll(2)
  process.signal(SIGSTOP);
  timeout_excess.client_sent_at = service.fixture.loop.now();
  client.call(2, "bin-record", "second", 1000);
  run_for(500);
  process.signal(SIGCONT);
  REQUIRE(service.run_until([&] { return client.open_calls.empty(); }));
  REQUIRE(timeout_excess.calls == 2);
  CHECK(timeout_excess.largest.count() < kTolerance.count());
}

// Guards against counting an attempt's timeout only from the time at which its call was recorded on disk.
TEST_CASE("time to record an attempt counts against its timeout") {
  class SlowDisk final : public core::FrontEnd {
    void answer(core::CallId, core::Answer&&) override {}
    bool before_attempt(core::CallId) override { return usleep(300000) == 0; }
  } front;
  RespFixture service(1);
  const auto first_client = connect_host(service);
  TimeoutExcess timeout_excess;
  timeout_excess.watch(service.invoker.loop, *service.invoker.host[0]);
  core::Call call;
  call.ref = net::hex16(7);
  call.class_name = "bin-record";
  call.function_name = net::hex16(0xa1);
  call.function = 0xa1;
  call.arrived = timeout_excess.client_sent_at = service.invoker.loop.now();
  call.timeout = kClientTimeout;
  REQUIRE_FALSE(
      service.invoker.dispatcher.admit(service.invoker.dispatcher.allocate_call_id(), std::move(call), front)
          .has_value());
  run_iterations(service);
  REQUIRE(timeout_excess.calls == 1);
  CHECK(timeout_excess.largest.count() < kTolerance.count());
}

using SocketNameFunction = int (*)(int, sockaddr*, socklen_t*);  // getsockname or getpeername

bool has_address(int fd, SocketNameFunction get_name, const std::string& address) {
  sockaddr_in found{};
  socklen_t size = sizeof found;
  if (get_name(fd, reinterpret_cast<sockaddr*>(&found), &size) != 0 || found.sin_family != AF_INET)
    return false;
  return "127.0.0.1:" + std::to_string(ntohs(found.sin_port)) == address;
}

// Sets the smallest buffer sizes for the sockets that listen at the address or are connected to it.
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

// Guards against calls that are queued in a connection behind bytes that the host does not read: they would
// carry the timeout that they had when they were queued.
TEST_CASE("no call is queued behind bytes that its host does not read") {
  net::EventLoop host_loop;
  const auto run_host = [&] { host_loop.run_once(host_loop.now(), [] {}); };
  RespFixture service(0);
  service.invoker.host.push_back(std::make_unique<StandInHost>(host_loop, service.invoker.pool));
  StandInHost& host = *service.invoker.host[0];
  shrink_socket_buffers(host.server.address());
  service.invoker.update_hosts(lotusyard::policy::HostState::ready);
  TimeoutExcess timeout_excess;
  timeout_excess.watch(host_loop, host);
  const auto run_both = [&] {
    service.invoker.run_once();
    run_host();
  };
  RawClient first_client(service), client(service);
  first_client.send(call_bytes(100));
  for (int i = 0; i < 100 && first_client.answers().empty(); ++i)
    run_both();
  REQUIRE(timeout_excess.calls == 1);
  shrink_socket_buffers(host.server.address());
  timeout_excess.client_sent_at = service.invoker.loop.now();
  std::string many;
  for (int tag = 1; tag <= 24; ++tag)
    many += call_bytes(tag, std::string(16000, 'x'));
  client.send(many);
  while (service.invoker.loop.now() < timeout_excess.client_sent_at + Millis(60))
    service.invoker.run_once();
  // Only one call is split; all others can still be checked and withdrawn.
  CHECK(service.invoker.dispatcher.open_calls() > 8);
  CHECK(service.invoker.pool.blocks_in_use() <= 2);
  CHECK(service.invoker.counters.value("hosts.stuck_calls") == 0);
  while (service.invoker.loop.now() < timeout_excess.client_sent_at + Millis(200))
    service.invoker.run_once();
  CHECK(service.invoker.counters.value("hosts.stuck_calls") == 1);
}

}  // namespace
}  // namespace lotusyard::test
