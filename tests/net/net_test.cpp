// Buffers and what waits in them to be written.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <string>

#include "net/event_loop.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

TEST_CASE("what is queued arrives in order, through blocks that are given back to the pool") {
  Random random(8);
  net::BufferPool pool(8);
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  const net::Socket out(ends[0]), in(ends[1]);
  net::SendQueue box(pool);
  std::string sent, got;
  const auto read = [&] {
    char bytes[5000];
    const ssize_t size = recv(in.fd(), bytes, sizeof bytes, 0);
    if (size > 0)
      got.append(bytes, static_cast<std::size_t>(size));
  };
  for (int round = 0; round < 400; ++round) {
    const std::string part(below(random, 3000), static_cast<char>('a' + round % 26));
    sent += part;
    REQUIRE(box.append(part));
    if (below(random, 2) == 0)
      CHECK(box.write_to(out.fd()) != net::SendQueue::WriteStatus::broken);
    if (below(random, 2) == 0)
      read();
    while (pool.blocks_in_use() > 4) {
      box.write_to(out.fd());
      read();
    }
  }
  while (got.size() < sent.size()) {
    box.write_to(out.fd());
    read();
  }
  CHECK(got == sent);
  CHECK(box.appended() == sent.size());
  CHECK(box.written() == sent.size());
  CHECK(pool.blocks_in_use() == 0);
}

TEST_CASE("the pool's bound holds, and a write past it is told") {
  net::BufferPool pool(2);
  {
    net::SendQueue box(pool);
    CHECK(box.append(std::string(2 * net::BufferPool::block_size, 'x')));
    CHECK_FALSE(box.append("x"));
    CHECK(pool.blocks_in_use() == 2);
  }
  CHECK(pool.blocks_in_use() == 0);
}

TEST_CASE("timers ring in their order; one taken back does not ring") {
  net::EventLoop loop;
  std::string rung;
  const Millis now = loop.now();
  loop.schedule_at(now + Millis(3), [&] { rung += 'c'; });
  loop.schedule_at(now + Millis(1), [&] { rung += 'a'; });
  const auto taken_back = loop.schedule_at(now + Millis(2), [&] { rung += 'x'; });
  loop.schedule_at(now + Millis(2), [&] { rung += 'b'; });
  loop.cancel(taken_back);
  for (int i = 0; i < 1000 && rung.size() < 3; ++i)
    loop.run_once(now + Millis(10), [] {});
  CHECK(rung == "abc");
}

}  // namespace
}  // namespace lotusyard::test
