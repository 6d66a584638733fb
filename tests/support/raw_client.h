// A client that sends raw bytes and closes its connection when and how a test chooses.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include "support/resp_fixture.h"

namespace lotusyard::test {

struct RawClient {
  net::Socket socket;
  explicit RawClient(RespFixture& p) : socket(net::connect_to(p.front_end.address()).socket) {
    const auto before = p.invoker.counters.value("resp.connections");
    REQUIRE(p.invoker.run_until([&] { return p.invoker.counters.value("resp.connections") > before; }, 1000));
  }
  // Fails unless the kernel accepts all bytes in one call.
  void send(const std::string& bytes) {
    REQUIRE(::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  // The result words received so far, by tag.
  std::map<std::string, std::vector<std::string>> answers() {
    char block[4096];
    ssize_t size = 0;
    while ((size = ::recv(socket.fd(), block, sizeof block, 0)) > 0)
      REQUIRE(parser.parse({block, static_cast<std::size_t>(size)}, received));
    if (size == 0)
      closed = true;
    std::map<std::string, std::vector<std::string>> out;
    for (const auto& words : received)
      out[words.at(0)].push_back(words.at(1));
    return out;
  }
  resp::Parser parser;
  std::vector<resp::Words> received;
  bool closed = false;
};

inline std::string call_bytes(int tag, const std::string& body = "x",
                              const std::string& call_class = "bin-check") {
  std::string out;
  const std::string fields = "ref=" + net::hex16(static_cast<std::uint64_t>(tag)) +
                             ",allow=1000,lookup=00000000000000a1,spec=memory_mb:300;lanes:32";
  resp::write_array(out, {"CALL", std::to_string(tag), call_class, fields, body});
  return out;
}
inline std::string cancel_bytes(int tag) {
  std::string out;
  resp::write_array(out, {"CANCEL", std::to_string(tag)});
  return out;
}
// Opens a connection to the host by serving one call, so that later attempts are sent in the iteration that
// decides them. The client stays connected.
inline std::unique_ptr<Client> connect_host(RespFixture& p) {
  auto client = std::make_unique<Client>(p.invoker, p.front_end.address());
  client->call("1", "bin-check", "usual");
  REQUIRE(client->answer("1") != nullptr);
  return client;
}
inline void run_iterations(RespFixture& p, int count = 12) {
  for (int i = 0; i < count; ++i)
    p.invoker.run_once();
}
// Runs one iteration of the event loop and calls `between` after the input was read and the dispatcher has
// decided, before anything is written.
template <typename Between>
void run_once_with(InvokerFixture& fixture, const Between& between) {
  fixture.loop.run_once(fixture.loop.now() + Millis(20), [&] {
    fixture.dispatcher.tick();
    between();
  });
}

}  // namespace lotusyard::test
