// Two processes of one invoker: their resource shares, their presence, and a listener that both inherit.
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "hot_restart/presence.h"
#include "hot_restart/shares.h"
#include "net/event_loop.h"

namespace lotusyard::test {
namespace {

using hot_restart::ProcessRole;

TEST_CASE("the shares of two processes add up to no more than the limits of one") {
  for (std::size_t sockets = hot_restart::kMinSockets; sockets <= 4096; sockets += 7) {
    for (std::size_t mb = hot_restart::kMinMemoryMb; mb <= 512; mb += 9) {
      const auto sole = hot_restart::shares_of(mb, sockets, ProcessRole::sole);
      const auto concurrent = hot_restart::shares_of(mb, sockets, ProcessRole::concurrent);
      const auto draining = hot_restart::shares_of(mb, sockets, ProcessRole::draining);
      REQUIRE(sole.descriptors() <= sockets);
      REQUIRE(concurrent.descriptors() * 2 <= sockets);
      REQUIRE(concurrent.descriptors() + draining.descriptors() <= sockets);
      REQUIRE(sole.bytes() <= mb << 20);
      REQUIRE(concurrent.bytes() * 2 <= mb << 20);
      REQUIRE(sole.clients <= sockets / 3);
      REQUIRE((concurrent.clients > 0 && concurrent.new_connections > 0 && concurrent.host_connections > 0 &&
               concurrent.admin_connections >= 4));
    }
  }
}

TEST_CASE("a pool that shrinks frees its free blocks at once, and the others when they are returned") {
  net::BufferPool pool(8);
  std::vector<net::BufferPool::Lease> leases;
  for (int i = 0; i < 6; ++i)
    leases.push_back(pool.acquire());
  leases.pop_back();
  pool.set_max_blocks(2);
  CHECK(pool.blocks_in_use() == 5);
  CHECK(pool.blocks_allocated() == 5);
  CHECK_FALSE(pool.acquire());
  leases.clear();
  CHECK(pool.blocks_allocated() == 2);
  CHECK(pool.acquire());
}

TEST_CASE("another process is detected as long as it is alive, however it ends") {
  char name[] = "/tmp/lotusyard-test-XXXXXX";
  REQUIRE(mkdtemp(name) != nullptr);
  const std::string folder = std::string(name) + "/n0";
  {
    hot_restart::Presence one(folder);
    REQUIRE(one.is_announced());
    CHECK_FALSE(one.other_is_alive());
    {
      const hot_restart::Presence other(folder);
      CHECK((one.other_is_alive() && other.other_is_alive()));
    }
    CHECK_FALSE(one.other_is_alive());
    const pid_t killed = fork();
    if (killed == 0) {  // its file is left behind
      static hot_restart::Presence child(folder);
      raise(child.is_announced() ? SIGKILL : SIGTERM);
    }
    int status = 0;
    REQUIRE(waitpid(killed, &status, 0) == killed);
    CHECK(WTERMSIG(status) == SIGKILL);
    CHECK_FALSE(one.other_is_alive());
  }
  CHECK(rmdir(folder.c_str()) == 0);  // the folder is empty
  CHECK(rmdir(name) == 0);
  CHECK_FALSE(hot_restart::Presence("/nowhere/at/all").is_announced());
}

TEST_CASE("only a listening TCP socket is adopted, and others can still use it") {
  const net::Socket listener = net::listen_on("127.0.0.1:0");
  const std::string address = net::bound_address(listener);
  CHECK_FALSE(net::adopt_listener(-1));
  CHECK_FALSE(net::adopt_listener(9999));
  const net::Socket connection = net::connect_to(address).socket;
  CHECK_FALSE(net::adopt_listener(connection.fd()));
  {
    const net::Socket mine = net::adopt_listener(dup(listener.fd()));
    REQUIRE(static_cast<bool>(mine));
    CHECK(static_cast<bool>(net::accept_from(mine).socket));
  }
  const net::Socket again = net::connect_to(address).socket;
  pollfd wait{listener.fd(), POLLIN, 0};
  REQUIRE(poll(&wait, 1, 5000) == 1);
  CHECK(static_cast<bool>(net::accept_from(listener).socket));
}

}  // namespace
}  // namespace lotusyard::test
