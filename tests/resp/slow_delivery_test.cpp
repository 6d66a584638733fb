// Answers on their way to clients that read slowly: the kernel has taken them, the clients have not got them.
#include <optional>
#include <set>

#include "net/delivery_progress.h"
#include "support/raw_client.h"

namespace lotusyard::test {
namespace {

using Kind = Reaction::Kind;

constexpr std::size_t kLongAnswer = 230000;

// Removes and returns the number behind a one-letter mark, such as 4 of "*4\r\n"; nothing if it is
// incomplete.
std::optional<std::size_t> take_number(std::string_view& bytes) {
  const std::size_t end = bytes.find("\r\n");
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::size_t number = std::stoul(std::string(bytes.substr(1, end - 1)));
  bytes.remove_prefix(end + 2);
  return number;
}

// Removes one complete answer and returns its tag; nothing if it is incomplete. Answers may be longer than
// what resp::Parser takes from clients.
std::optional<std::string> take_answer(std::string& received) {
  std::string_view rest = received;
  std::string tag;
  const auto words = take_number(rest);
  if (!words)
    return std::nullopt;
  for (std::size_t i = 0; i < *words; ++i) {
    const auto size = take_number(rest);
    if (!size || rest.size() < *size + 2)
      return std::nullopt;
    if (i == 0)
      tag = rest.substr(0, *size);
    rest.remove_prefix(*size + 2);
  }
  received.erase(0, received.size() - rest.size());
  return tag;
}

// A client with a small receive buffer that reads a few kilobytes at a time. If it `sends_again`, it sends
// another call when it has read an answer.
struct SlowClient {
  static constexpr std::size_t kReadBytes = 12000;

  net::Socket socket;
  std::string received;
  std::set<std::string> answers;  // tags
  int next_tag = 1;
  bool sends_again = false;
  bool ended = false;
  bool reset = false;

  explicit SlowClient(RespFixture& service) : socket(net::connect_to(service.front_end.address()).socket) {
    const int receive_buffer = 32768;
    REQUIRE(setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer) == 0);
    REQUIRE(service.invoker.run_until([&] { return service.front_end.open_calls() == 0; }, 100));
  }
  void send_call() {
    const std::string bytes = call_bytes(next_tag++);
    ::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void read_some() {
    char block[kReadBytes];
    const ssize_t size = ::recv(socket.fd(), block, sizeof block, 0);
    reset = reset || (size < 0 && errno == ECONNRESET);
    ended = ended || size == 0 || reset;
    if (size > 0)
      received.append(block, static_cast<std::size_t>(size));
    while (const auto tag = take_answer(received)) {
      answers.insert(*tag);
      if (sends_again)
        send_call();
    }
  }
  bool has_answer(const std::string& tag) const { return answers.count(tag) != 0; }
};

// All calls of the client are answered, as far as the process can see: its kernel has taken the answers.
void serve_long_answers(RespFixture& service, SlowClient& client, int calls) {
  service.invoker.host[0]->handler = [](const std::string&) {
    return Reaction{Kind::reply, "data", kLongAnswer};
  };
  for (int i = 0; i < calls; ++i)
    client.send_call();
  const auto execs = [&] { return service.invoker.host[0]->execs; };
  REQUIRE(service.invoker.run_until([&] { return execs() == calls && service.front_end.open_calls() == 0; },
                                    5000));
  run_iterations(service);
}

// Guards against: a hand-over ends a connection as soon as the kernel has its answers. The client, which
// still reads, goes on sending; its next call to the closed socket resets the connection, and the answers on
// their way are lost.
TEST_CASE("a hand-over closes a connection after its client has received the answers on their way") {
  constexpr int kCalls = 4;
  RespFixture service(1);
  SlowClient client(service);
  serve_long_answers(service, client, kCalls);
  client.sends_again = true;
  service.front_end.stop_admitting();
  bool handed_off = false;
  REQUIRE(service.invoker.run_until(
      [&] {
        handed_off = service.front_end.hand_off_connections();
        client.read_some();
        return client.ended;
      },
      20000));
  for (int tag = 1; tag <= kCalls; ++tag)
    CHECK(client.has_answer(std::to_string(tag)));
  CHECK_FALSE(client.reset);
  CHECK(service.invoker.run_until([&] { return service.front_end.hand_off_connections(); }, 5000));
}

// Guards against: a process that was told to end exits with answers on their way, and a call that the client
// sends meanwhile resets the connection.
TEST_CASE("answers count as delivered when the client has them, not when the kernel has taken them") {
  RespFixture service(1);
  SlowClient client(service);
  serve_long_answers(service, client, 2);
  CHECK_FALSE(service.front_end.all_delivered());
  while (!client.has_answer("2")) {
    client.read_some();
    run_iterations(service, 1);
  }
  run_iterations(service);
  CHECK(service.front_end.all_delivered());
}

// Guards against: the client that is evicted to make room for another one loses an answer on its way.
TEST_CASE(
    "of clients without open calls the one with an answer on its way is not evicted for another client") {
  resp::FrontEnd::Limits limits;
  limits.clients = 2;
  RespFixture service(1, limits);
  SlowClient slow(service);
  serve_long_answers(service, slow, 2);
  service.invoker.host[0]->handler = [](const std::string&) { return Reaction{Kind::reply, "data", 1}; };
  RawClient idle(service);
  idle.send(call_bytes(101));
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->execs == 3; }, 1000));
  REQUIRE(service.invoker.run_until([&] { return idle.answers().count("101") == 1; }, 5000));
  RawClient another(service);
  another.send(call_bytes(102));
  REQUIRE(service.invoker.run_until([&] { return another.answers().count("102") == 1; }, 5000));
  CHECK((idle.answers(), idle.closed));
  while (!slow.has_answer("2")) {
    slow.read_some();
    REQUIRE_FALSE(slow.ended);
    run_iterations(service, 1);
  }
}

core::Answer answer_of(std::size_t bytes) {
  core::Answer answer;
  answer.status = core::CallStatus::succeeded;
  answer.body = std::string(bytes, 'x');
  return answer;
}

// Sends the calls 1 to `calls` and waits until a host has them; they are answered by answer_of().
void open_calls(RespFixture& service, RawClient& client, int first, int calls) {
  service.invoker.host[0]->handler = [](const std::string&) { return Reaction{Kind::silence, ""}; };
  const int execs = service.invoker.host[0]->execs + calls;
  for (int tag = first; tag < first + calls; ++tag)
    client.send(call_bytes(tag));
  REQUIRE(service.invoker.run_until([&] { return service.invoker.host[0]->execs == execs; }, 5000));
}

// Guards against: a client that reads at once is taken for one that does not, because two long answers to it
// are ready in one iteration and were not offered to the kernel before they were counted as unread.
TEST_CASE("long answers that are ready in one iteration do not cut off a client that reads") {
  resp::FrontEnd::Limits limits;
  limits.unread_bytes = 256U << 10;
  RespFixture service(1, limits);
  RawClient client(service);
  open_calls(service, client, 1, 3);
  for (core::CallId id = 1; id <= 2; ++id)
    service.front_end.answer(id, answer_of(150000));
  run_iterations(service);
  CHECK(service.invoker.counters.value("resp.unread_closed") == 0);
  CHECK(service.front_end.open_calls() == 1);
}

// Guards against: the same where the answers of others need the buffers.
TEST_CASE("long answers that are ready in one iteration do not cut off a client for the answer of another") {
  constexpr std::size_t kPoolBlocks = 24;
  RespFixture service(1);
  RawClient first(service), second(service);
  open_calls(service, first, 1, 3);
  open_calls(service, second, 4, 1);
  service.invoker.pool.set_max_blocks(kPoolBlocks);
  const std::size_t answer_bytes = kPoolBlocks * net::BufferPool::kBlockSize / 5 * 2;
  service.front_end.answer(1, answer_of(answer_bytes));
  service.front_end.answer(2, answer_of(answer_bytes));
  service.front_end.answer(4, answer_of(answer_bytes));
  run_iterations(service);
  CHECK(service.invoker.counters.value("resp.unread_closed") == 0);
  CHECK(service.front_end.open_calls() == 1);
}

// Guards against: clients that never read keep a connection, or a process that is to end, for ever.
TEST_CASE(
    "a delivery without progress for two seconds counts as stalled, and any progress starts that time anew") {
  net::DeliveryProgress progress;
  CHECK_FALSE(progress.is_stalled(100, Millis(0)));
  CHECK_FALSE(progress.is_stalled(100, Millis(1999)));
  CHECK(progress.is_stalled(100, Millis(2000)));
  CHECK_FALSE(progress.is_stalled(101, Millis(2001)));
  CHECK_FALSE(progress.is_stalled(101, Millis(4000)));
  CHECK(progress.is_stalled(101, Millis(4001)));
}

}  // namespace
}  // namespace lotusyard::test
