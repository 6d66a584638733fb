// A client as bytes: what it writes, when, and how it goes is the test's to say.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include "support/platform.h"

namespace lotusyard::test {

struct RawClient {
  net::Socket socket;
  explicit RawClient(Platform& p) : socket(net::connect_to(p.front.address()).socket) {
    const auto before = p.world.counters.value("resp.connections");
    REQUIRE(p.world.run_until([&] { return p.world.counters.value("resp.connections") > before; }, 1000));
  }
  // The kernel has to take it whole.
  void say(const std::string& bytes) {
    REQUIRE(::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  // What has come so far, by tag: the words of each answer.
  std::map<std::string, std::vector<std::string>> answers() {
    char block[4096];
    ssize_t some = 0;
    while ((some = ::recv(socket.fd(), block, sizeof block, 0)) > 0)
      REQUIRE(parser.parse({block, static_cast<std::size_t>(some)}, got));
    if (some == 0)
      closed = true;
    std::map<std::string, std::vector<std::string>> out;
    for (const auto& words : got)
      out[words.at(0)].push_back(words.at(1));
    return out;
  }
  resp::Parser parser;
  std::vector<resp::Words> got;
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
// A connection to the host stands: what is decided goes out in the same turn. The client that did it stays.
inline std::unique_ptr<Client> connect_host(Platform& p) {
  auto usual = std::make_unique<Client>(p.world, p.front.address());
  usual->call("1", "bin-check", "usual");
  REQUIRE(usual->answer("1") != nullptr);
  return usual;
}
inline void run_turns(Platform& p, int count = 12) {
  for (int i = 0; i < count; ++i)
    p.world.turn();
}
// One turn; `between` happens after all was read and decided, before anything is written.
template <typename Between>
void turn_with(InvokerFixture& world, const Between& between) {
  world.loop.run_once(world.loop.now() + Millis(20), [&] {
    world.dispatcher.tick();
    between();
  });
}

}  // namespace lotusyard::test
