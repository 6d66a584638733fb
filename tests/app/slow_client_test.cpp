// Clients that read slowly or not at all.
#include <sys/socket.h>

#include <algorithm>
#include <list>
#include <string>
#include <vector>

#include "hot_restart/shares.h"
#include "support/resp_fixture.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

// A client that reads about a megabyte a second, with a small receive buffer.
class SlowReader final : public net::EventHandler {
 public:
  SlowReader(InvokerFixture& fixture, const std::string& address)
      : fixture_(fixture), socket_(net::connect_to(address).socket) {
    const int buffer_size = 8192;
    REQUIRE(setsockopt(socket_.fd(), SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size) == 0);
    schedule_read();
  }
  ~SlowReader() override { fixture_.loop.cancel(timer_); }
  void send_bytes(const std::string& bytes) {
    fixture_.run_once();
    REQUIRE(::send(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  std::vector<std::string> bodies;  // of complete answers to calls that succeeded
  bool closed = false;
  bool reads = true;

 private:
  InvokerFixture& fixture_;
  net::Socket socket_;
  net::EventLoop::TimerId timer_{};
  std::string received_;

  void ready(short) override {}
  void schedule_read() {
    timer_ = fixture_.loop.schedule_at(fixture_.loop.now() + Millis(5), [this] {
      if (reads)
        read();
      take_answer();
      if (!closed)
        schedule_read();
    });
  }
  void read() {
    char block[5000];
    const ssize_t length = ::recv(socket_.fd(), block, sizeof block, 0);
    if (length == 0)
      closed = true;
    if (length > 0)
      received_.append(block, static_cast<std::size_t>(length));
  }
  // Takes one complete answer out of what was received.
  void take_answer() {
    const std::string prefix = "OK\r\n$0\r\n\r\n$";  // the body's length and the body follow
    const std::size_t prefix_at = received_.find(prefix);
    if (prefix_at == std::string::npos)
      return;
    const std::size_t length_at = prefix_at + prefix.size();
    const std::size_t length_end = received_.find("\r\n", length_at);
    if (length_end == std::string::npos)
      return;
    const std::size_t length = std::stoul(received_.substr(length_at, length_end - length_at));
    const std::size_t answer_end = length_end + 4 + length;
    if (received_.size() < answer_end)
      return;
    bodies.push_back(received_.substr(length_end + 2, length));
    received_.erase(0, answer_end);
  }
};

std::string call_bytes(int number, const std::string& body) {
  std::string out;
  resp::write_array(
      out, {"CALL", std::to_string(number), "bin-check",
            "ref=" + net::hex16(static_cast<std::uint64_t>(number)) + ",allow=1500,lookup=00000000000000a1",
            body});
  return out;
}

TEST_CASE(
    "answers of 230,000 bytes reach clients that read a megabyte a second, at half of the least limits") {
  const auto shares = hot_restart::shares_of(16, 128, hot_restart::ProcessRole::sole);
  hosts::Limits host_limits = InvokerFixture::limits();
  host_limits.max_incoming_bytes = shares.incoming;
  host_limits.max_answer_bytes = 256U << 10;
  resp::FrontEnd::Limits limits;
  limits.unread_bytes = shares.unwritten / 2;
  RespFixture service(1, limits, host_limits);
  service.invoker.pool.set_max_blocks(shares.unwritten / net::BufferPool::kBlockSize);
  service.invoker.host[0]->handler = [](const std::string&) { return Reaction{Kind::reply, "data", 230000}; };
  std::list<SlowReader> readers;
  for (int i = 0; i < 4; ++i)
    readers.emplace_back(service.invoker, service.front_end.address());
  int number = 0;
  for (auto& reader : readers) {
    for (int i = 0; i < 2; ++i)
      reader.send_bytes(call_bytes(++number, "long"));
  }
  REQUIRE(service.invoker.run_until([&] {
    return std::all_of(readers.begin(), readers.end(),
                       [](const auto& reader) { return reader.bodies.size() == 2 || reader.closed; });
  }));
  for (const auto& reader : readers) {
    CHECK_FALSE(reader.closed);
    CHECK(reader.bodies == std::vector<std::string>(2, std::string(230000, 'x')));
  }
  CHECK(service.invoker.counters.value("resp.unread_closed") == 0);
}

TEST_CASE("a client that does not read is closed for the memory that it holds, and no other client is") {
  InvokerFixture fixture(1);
  net::BufferPool pool(64);  // a megabyte; the hosts have their own
  resp::FrontEnd::Limits limits;
  limits.unread_bytes = 64U << 20;  // the pool runs out first
  resp::FrontEnd front(fixture.loop, pool, fixture.dispatcher, fixture.counters, limits);
  REQUIRE(front.listen("127.0.0.1:0"));
  fixture.host[0]->handler = [](const std::string& body) {
    return Reaction{Kind::reply, "data", body == "long" ? std::size_t{200000} : 0};
  };
  SlowReader unread(fixture, front.address());
  unread.reads = false;
  Client usual(fixture, front.address());
  for (int i = 1; i <= 30; ++i)
    unread.send_bytes(call_bytes(i, "long"));
  REQUIRE(fixture.run_until([&] { return fixture.counters.value("resp.unread_closed") == 1; }, 20000));
  for (int i = 1; i <= 5; ++i) {
    usual.call(std::to_string(i), "bin-check", "short");
    REQUIRE(usual.answer(std::to_string(i)) != nullptr);
    CHECK(usual.answer(std::to_string(i))->at(1) == "OK");
  }
  CHECK_FALSE(usual.closed);
  CHECK(fixture.counters.value("resp.unread_closed") == 1);
}

}  // namespace
}  // namespace lotusyard::test
