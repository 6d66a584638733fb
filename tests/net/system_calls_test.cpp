// How sockets, connections and the event loop handle system calls that fail.
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "net/buffered_connection.h"
#include "net/event_loop.h"
#include "support/system_call_faults.h"

namespace lotusyard::test {
namespace {

using net::AcceptStatus;
using net::ConnectErrorKind;
using Millis = net::Millis;

struct Listener {
  net::Socket socket = net::listen_on("127.0.0.1:0");
  std::string address = net::bound_address(socket);
};

// Stores what it receives.
class Reader final : public net::BufferedConnection {
 public:
  Reader(net::EventLoop& loop, net::BufferPool& pool, net::Socket socket, bool connecting)
      : BufferedConnection(loop, pool, std::move(socket), connecting) {}
  std::string received;
  bool has_closed = false;

 private:
  void on_received(std::string_view bytes) override { received += bytes; }
  void on_closed() override { has_closed = true; }
};

// Two ends of one connection, on one loop.
struct Pair {
  net::EventLoop loop;
  net::BufferPool pool{64};
  Listener listener;
  Reader near{loop, pool, net::connect_to(listener.address).socket, true};
  Reader far{loop, pool, net::accept_from(listener.socket).socket, false};
  template <typename Until>
  bool until(const Until& done, Millis most = Millis(4000)) {
    const Millis end = loop.now() + most;
    while (!done() && loop.now() < end)
      loop.run_once(loop.now() + Millis(5), [] {});
    return done();
  }
};

TEST_CASE("each error of a connect has its kind", "[system-calls]") {
  const Listener listener;
  const std::vector<std::pair<int, ConnectErrorKind>> errors = {
      {EADDRNOTAVAIL, ConnectErrorKind::local_resource}, {EAGAIN, ConnectErrorKind::local_resource},
      {ENETUNREACH, ConnectErrorKind::local_resource},   {ENETDOWN, ConnectErrorKind::local_resource},
      {ENOBUFS, ConnectErrorKind::local_resource},       {ECONNREFUSED, ConnectErrorKind::refused},
      {EHOSTUNREACH, ConnectErrorKind::unreachable},     {ETIMEDOUT, ConnectErrorKind::timed_out}};
  for (const auto& [error, kind] : errors) {
    SystemCallFaults faults;
    faults.fail(SystemCall::connect, {error});
    const net::ConnectResult result = net::connect_to(listener.address);
    REQUIRE(result.error);
    CHECK_FALSE(result);
    CHECK(result.error->kind == kind);
    CHECK(result.error->error_number == error);
  }
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    SystemCallFaults faults;
    faults.fail(SystemCall::socket, {error});
    const net::ConnectResult result = net::connect_to(listener.address);
    REQUIRE(result.error);
    CHECK(result.error->kind == ConnectErrorKind::local_resource);
  }
}

TEST_CASE("a connect that a signal interrupts continues", "[system-calls]") {
  SystemCallFaults faults;
  faults.fail(SystemCall::connect, {EINTR}, 1, 1);
  Pair pair;
  CHECK(faults.failures(SystemCall::connect) == 1);
  pair.near.write("x");
  CHECK(pair.until([&] { return pair.far.received == "x"; }));
}

TEST_CASE("a connect that fails late has the same kind of error as one that fails at once",
          "[system-calls]") {
  const std::vector<std::pair<int, ConnectErrorKind>> errors = {
      {EADDRNOTAVAIL, ConnectErrorKind::local_resource},
      {ECONNREFUSED, ConnectErrorKind::refused},
      {EHOSTUNREACH, ConnectErrorKind::unreachable},
      {ETIMEDOUT, ConnectErrorKind::timed_out}};
  for (const auto& [error, kind] : errors) {
    SystemCallFaults faults;
    faults.fail(SystemCall::pending_error, {error});
    Pair pair;
    std::string counted;
    pair.loop.count_errors([&](const metrics::Counter& counter) { counted += counter.name; });
    REQUIRE(pair.until([&] { return pair.near.has_closed; }));
    REQUIRE(pair.near.connect_error());
    CHECK(pair.near.connect_error()->kind == kind);
    CHECK(counted == net::counter_of(kind).name);
  }
}

TEST_CASE("a connection that was lost before accept does not delay the next one", "[system-calls]") {
  for (const int error : {ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, EINTR, ENOPROTOOPT, ENETUNREACH}) {
    const Listener listener;
    const net::ConnectResult waiting = net::connect_to(listener.address);
    SystemCallFaults faults;
    faults.fail(SystemCall::accept, {error}, 1, 3);
    const net::AcceptResult accepted = net::accept_from(listener.socket);
    CHECK(accepted.status == AcceptStatus::accepted);
    CHECK(accepted.connections_lost == (error == EINTR ? 0 : 3));
    CHECK(net::accept_from(listener.socket).status == AcceptStatus::none_waiting);
  }
}

TEST_CASE("a lack of resources in accept is distinguished from an empty queue", "[system-calls]") {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    const Listener listener;
    SystemCallFaults faults;
    faults.fail(SystemCall::accept, {error}, 1, 1);
    CHECK(net::accept_from(listener.socket).status == AcceptStatus::out_of_resources);
    CHECK(net::accept_from(listener.socket).status == AcceptStatus::none_waiting);
  }
  const Listener listener;  // a queue of nothing but lost connections must not block the loop
  SystemCallFaults faults;
  faults.fail(SystemCall::accept, {ECONNABORTED});
  CHECK(net::accept_from(listener.socket).status == AcceptStatus::out_of_resources);
  CHECK(faults.calls(SystemCall::accept) < 100);
}

TEST_CASE("a poll that fails calls no handler and does not spin, and timers still fire", "[system-calls]") {
  for (const int error : {EINTR, ENOMEM}) {
    Pair pair;
    REQUIRE(pair.until([&] { return pair.near.is_open(); }));
    pair.far.write("x");
    pair.far.flush_now();
    bool fired = false;
    pair.loop.schedule_at(pair.loop.now() + Millis(40), [&] { fired = true; });
    {
      SystemCallFaults faults;
      faults.fail(SystemCall::poll, {error});
      const Millis end = pair.loop.now() + Millis(200);
      while (pair.loop.now() < end)
        pair.loop.run_once(end, [] {});
      CHECK(fired);
      CHECK(pair.near.received.empty());
      CHECK(faults.calls(SystemCall::receive) == 0);
      CHECK(faults.calls(SystemCall::poll) < 100);
    }
    CHECK(pair.until([&] { return pair.near.received == "x"; }));
  }
}

TEST_CASE("a peer's disconnection is detected also while poll fails", "[system-calls]") {
  for (const int error : {EINTR, ENOMEM}) {
    const Listener listener;
    const net::ConnectResult near = net::connect_to(listener.address);
    net::AcceptResult far = net::accept_from(listener.socket);
    SystemCallFaults faults;
    faults.fail(SystemCall::poll, {error});
    CHECK(net::peek_peer(near.socket) == net::PeerState::idle);
    REQUIRE(::send(far.socket.fd(), "x", 1, MSG_NOSIGNAL) == 1);
    CHECK(net::peek_peer(near.socket) == net::PeerState::readable);
    far.socket.close();
    char byte = 0;
    REQUIRE(::recv(near.socket.fd(), &byte, 1, 0) == 1);
    CHECK(net::peek_peer(near.socket) == net::PeerState::disconnected);
  }
}

TEST_CASE("a short lack of memory closes no connection, and the loop does not spin", "[system-calls]") {
  const SystemCall call = GENERATE(SystemCall::receive, SystemCall::send);
  const int error = GENERATE(ENOBUFS, ENOMEM);
  Pair pair;
  REQUIRE(pair.until([&] { return pair.near.is_open(); }));
  {
    SystemCallFaults faults;
    faults.fail(call, {error});
    pair.near.write("well");
    pair.until([] { return false; }, Millis(300));
    CHECK(faults.calls(call) < 150);
  }
  CHECK(pair.far.received.empty());
  CHECK(pair.until([&] { return pair.far.received == "well"; }));
  CHECK_FALSE((pair.near.has_closed || pair.far.has_closed));
  SystemCallFaults faults;  // a long shortage closes it
  faults.fail(call, {error});
  pair.near.write("more");
  CHECK(pair.until([&] { return pair.near.has_closed || pair.far.has_closed; }));
}

}  // namespace
}  // namespace lotusyard::test
