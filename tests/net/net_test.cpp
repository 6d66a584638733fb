// Buffers, send queues, timers, flushes and registrations of the event loop.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "net/event_loop.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

TEST_CASE("queued bytes arrive in order, and their blocks return to the pool") {
  Random random(8);
  net::BufferPool pool(8);
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  const net::Socket out(ends[0]), in(ends[1]);
  net::SendQueue queue(pool);
  std::string sent, received;
  const auto read = [&] {
    char bytes[5000];
    const ssize_t size = recv(in.fd(), bytes, sizeof bytes, 0);
    if (size > 0)
      received.append(bytes, static_cast<std::size_t>(size));
  };
  for (int round = 0; round < 400; ++round) {
    const std::string part(below(random, 3000), static_cast<char>('a' + round % 26));
    sent += part;
    REQUIRE(queue.append(part));
    if (below(random, 2) == 0)
      CHECK(queue.write_to(out.fd()) != net::SendQueue::WriteStatus::broken);
    if (below(random, 2) == 0)
      read();
    while (pool.blocks_in_use() > 4) {
      queue.write_to(out.fd());
      read();
    }
  }
  while (received.size() < sent.size()) {
    queue.write_to(out.fd());
    read();
  }
  CHECK(received == sent);
  CHECK(queue.appended() == sent.size());
  CHECK(queue.written() == sent.size());
  CHECK(pool.blocks_in_use() == 0);
}

TEST_CASE("the pool's bound holds, and appending beyond it fails") {
  net::BufferPool pool(2);
  {
    net::SendQueue queue(pool);
    CHECK(queue.append(std::string(2 * net::BufferPool::kBlockSize, 'x')));
    CHECK_FALSE(queue.append("x"));
    CHECK(pool.blocks_in_use() == 2);
  }
  CHECK(pool.blocks_in_use() == 0);
}

TEST_CASE("timers fire in the order of their due times; a cancelled one does not fire") {
  net::EventLoop loop;
  std::string fired;
  const Millis now = loop.now();
  loop.schedule_at(now + Millis(3), [&] { fired += 'c'; });
  loop.schedule_at(now + Millis(1), [&] { fired += 'a'; });
  const auto cancelled = loop.schedule_at(now + Millis(2), [&] { fired += 'x'; });
  loop.schedule_at(now + Millis(2), [&] { fired += 'b'; });
  loop.cancel(cancelled);
  for (int i = 0; i < 1000 && fired.size() < 3; ++i)
    loop.run_once(now + Millis(10), [] {});
  CHECK(fired == "abc");
}

TEST_CASE("a timer that is scheduled by another one fires in the same pass only if it is due") {
  net::TimerQueue timers;
  std::string fired;
  timers.schedule_at(Millis(1), [&] {
    fired += 'a';
    timers.schedule_at(Millis(1), [&] { fired += 'b'; });
    timers.schedule_at(Millis(9), [&] { fired += 'c'; });
  });
  while (timers.fire_next(Millis(5))) {
  }
  CHECK(fired == "ab");
  CHECK(timers.next_due() == Millis(9));
}

// Counts its events and flushes.
class CountingHandler final : public net::EventHandler {
 public:
  std::function<void()> on_flush = [] {};
  int flushes = 0;
  void ready(short) override {}
  void flush() override {
    ++flushes;
    on_flush();
  }
};

TEST_CASE("a flush may add handlers, which are flushed too, and remove others, which are not") {
  net::FlushQueue queue;
  CountingHandler first, removed, added;
  first.on_flush = [&] {
    queue.remove(removed);
    queue.add(added);
  };
  queue.add(first);
  queue.add(removed);
  queue.add(first);  // queued already
  queue.flush_all();
  CHECK((first.flushes == 1 && removed.flushes == 0 && added.flushes == 1));
  queue.flush_all();
  CHECK((first.flushes == 1 && added.flushes == 1));
}

TEST_CASE("an event of a descriptor that has a new user is not passed to it") {
  net::HandlerRegistry registry;
  CountingHandler before, after;
  registry.register_handler(5, before, POLLIN, net::HandlerPriority::normal);
  registry.register_handler(7, before, 0, net::HandlerPriority::normal);
  net::PollSet poll_set;
  registry.append_all(poll_set);
  REQUIRE(poll_set.descriptors.size() == 1);  // one without events is not polled
  CHECK(registry.is_unchanged(poll_set, 0));
  registry.register_handler(5, before, POLLOUT, net::HandlerPriority::normal);
  CHECK(registry.is_unchanged(poll_set, 0));
  registry.unregister(5, after);  // is not its user
  CHECK(registry.is_unchanged(poll_set, 0));
  registry.unregister(5, before);
  CHECK_FALSE(registry.is_unchanged(poll_set, 0));
  registry.register_handler(5, after, POLLIN, net::HandlerPriority::urgent);
  CHECK_FALSE(registry.is_unchanged(poll_set, 0));
  poll_set.clear();
  registry.append_urgent(poll_set);
  CHECK((poll_set.descriptors.size() == 1 && registry.is_unchanged(poll_set, 0)));
}

TEST_CASE("a poll that fails repeatedly is followed by pauses that grow up to a bound") {
  net::PollBackoff backoff;
  CHECK((backoff.on_failure() == Millis(0) && backoff.on_failure() == Millis(0)));
  CHECK((backoff.on_failure() == Millis(1) && backoff.on_failure() == Millis(2)));
  for (int i = 0; i < 20; ++i)
    backoff.on_failure();
  CHECK(backoff.on_failure() == Millis(10));
  backoff.on_success();
  CHECK(backoff.on_failure() == Millis(0));
}

}  // namespace
}  // namespace lotusyard::test
