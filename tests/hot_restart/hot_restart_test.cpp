// Two processes that are one invoker: what each may hold, who lives, and a listener that both inherit.
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

TEST_CASE("what two processes may hold is no more than the limits of one") {
  for (std::size_t sockets = hot_restart::least_sockets; sockets <= 4096; sockets += 7) {
    for (std::size_t mb = hot_restart::least_memory_mb; mb <= 512; mb += 9) {
      const auto alone = hot_restart::shares_of(mb, sockets, ProcessRole::sole);
      const auto beside = hot_restart::shares_of(mb, sockets, ProcessRole::concurrent);
      const auto leaving = hot_restart::shares_of(mb, sockets, ProcessRole::draining);
      REQUIRE(alone.descriptors() <= sockets);
      REQUIRE(beside.descriptors() * 2 <= sockets);
      REQUIRE(beside.descriptors() + leaving.descriptors() <= sockets);
      REQUIRE(alone.bytes() <= mb << 20);
      REQUIRE(beside.bytes() * 2 <= mb << 20);
      REQUIRE(alone.clients <= sockets / 3);
      REQUIRE((beside.clients > 0 && beside.new_connections > 0 && beside.links > 0 && beside.callers >= 4));
    }
  }
}

TEST_CASE("a pool that is to hold less gives back what is not out, and the rest as it comes back") {
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

TEST_CASE("another process is known to live for as long as it does, however it ends") {
  char name[] = "/tmp/lotusyard-test-XXXXXX";
  REQUIRE(mkdtemp(name) != nullptr);
  const std::string folder = std::string(name) + "/n0";
  {
    hot_restart::Presence one(folder);
    REQUIRE(one.known());
    CHECK_FALSE(one.other_lives());
    {
      const hot_restart::Presence other(folder);
      CHECK((one.other_lives() && other.other_lives()));
    }
    CHECK_FALSE(one.other_lives());
    const pid_t killed = fork();
    if (killed == 0) {  // it leaves its file behind
      static hot_restart::Presence child(folder);
      raise(child.known() ? SIGKILL : SIGTERM);
    }
    int status = 0;
    REQUIRE(waitpid(killed, &status, 0) == killed);
    CHECK(WTERMSIG(status) == SIGKILL);
    CHECK_FALSE(one.other_lives());
  }
  CHECK(rmdir(folder.c_str()) == 0);  // nothing is left
  CHECK(rmdir(name) == 0);
  CHECK_FALSE(hot_restart::Presence("/nowhere/at/all").known());
}

TEST_CASE("only a listening TCP socket is adopted, and is left as it is for others") {
  const net::Socket listener = net::listen_on("127.0.0.1:0");
  const std::string address = net::bound_address(listener);
  CHECK_FALSE(net::adopt_listener(-1));
  CHECK_FALSE(net::adopt_listener(9999));
  const net::Socket talker = net::connect_to(address).socket;
  CHECK_FALSE(net::adopt_listener(talker.fd()));
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
