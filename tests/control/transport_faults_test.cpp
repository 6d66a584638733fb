// What a control node's sockets do with peers that are silent, malformed or too many: each is counted, only
// its own connection ends, and an invoker that behaves notices nothing.
#include <sys/resource.h>
#include <unistd.h>

#include "control/message_codec.h"
#include "control/served.h"

namespace lotusyard::test {
namespace {

int lowest_free_descriptor() {
  const int free = dup(0);
  close(free);
  return free;
}

std::string head(std::uint32_t size, unsigned kind) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += static_cast<char>(size >> shift & 0xff);
  return out + static_cast<char>(kind);
}

TEST_CASE("what cannot be read ends the one link that it came on, and is counted") {
  Served served;
  const std::string renew = control::encode(control::Renew{1, 0, 0});
  const std::vector<std::string> faulty = {
      std::string(100, 'x'),                                                   // a length beyond every bound
      head(static_cast<std::uint32_t>(control::kMaxFrameBytesToNode) + 1, 4),  // one beyond the bound
      head(0, 77),                                                             // no such kind
      head(3, 4) + "abc",                                                      // a body that is too short
      head(25, 4) + std::string(25, '\0'),                                     // and one that is too long
      renew,                                                                   // no Open before it
      control::encode(control::Grant{1, Millis(100)})};                        // only nodes send it
  for (std::size_t i = 0; i < faulty.size(); ++i) {
    INFO("fault " << i);
    ScriptedInvoker raw(served.server.address());
    raw.send_bytes(faulty[i]);
    CHECK(served.ends(raw));
    CHECK(raw.messages.empty());
    CHECK(served.count("control.malformed") == i + 1);
  }
  const auto raw = served.opened();
  raw->send(served.tier.open_message());
  CHECK(served.ends(*raw));
  CHECK(served.count("control.malformed") == faulty.size() + 1);
  CHECK(served.tier.run_until([&] { return served.server.links() == 1; }, Millis(2000)));
  served.check_good();
}

TEST_CASE("random bytes never bring a node down") {
  Served served;
  Random random(20);
  for (int i = 0; i < 60; ++i) {
    ScriptedInvoker raw(served.server.address());
    if (below(random, 2) == 0)
      raw.send(served.tier.open_message());
    raw.send_bytes(garbage(random, std::string("\0\0\0\1\4\7", 6)));
    for (int turns = 0; turns < 3; ++turns) {
      served.tier.run_once();
      raw.read();
    }
  }
  CHECK(served.tier.run_until([&] { return served.server.links() == 1; }, Millis(5000)));
  served.check_good();
}

TEST_CASE("an invoker of another cluster is told so, and its link ends") {
  Served served;
  ScriptedInvoker raw(served.server.address());
  control::Open open = served.tier.open_message();
  open.cluster = "other";
  raw.send(open);
  CHECK(served.ends(raw));
  REQUIRE(raw.first<control::Refusal>() != nullptr);
  CHECK(raw.first<control::Refusal>()->reason == control::RefusalReason::other_cluster);
  CHECK(served.count("control.refused.other_cluster") == 1);
  served.check_good();
}

TEST_CASE("a renewal that claims a position which the node has not reached ends the link") {
  Served served;
  const auto raw = served.opened();
  raw->send(control::Renew{1, served.tier.index + 1, 0});
  CHECK(served.ends(*raw));
  CHECK(raw->first<control::Grant>() == nullptr);
  CHECK(served.count("control.future_position") == 1);
  served.check_good();
}

TEST_CASE("a hundred connections that say nothing, and one with half an Open, end within their time") {
  Served served;
  const Millis began = served.tier.loop.now();
  std::vector<std::unique_ptr<ScriptedInvoker>> silent;
  for (int i = 0; i < 100; ++i)
    silent.push_back(std::make_unique<ScriptedInvoker>(served.server.address()));
  ScriptedInvoker half(served.server.address());
  const std::string open = control::encode(served.tier.open_message());
  half.send_bytes(open.substr(0, open.size() / 2));
  REQUIRE(served.tier.run_until([&] { return served.server.links() == 102; }, Millis(1000)));
  CHECK(served.ends(half, Millis(5000)));
  CHECK(served.tier.loop.now() - began >= Millis(3000));
  CHECK(served.tier.run_until([&] { return served.server.links() == 1; }, Millis(1000)));
  CHECK(served.tier.loop.now() - began < Millis(4500));
  CHECK(served.count("control.no_open") == 101);
  served.check_good();
}

TEST_CASE("a session that says nothing for two leases ends") {
  Served served;
  const auto raw = served.opened();
  const Millis began = served.tier.loop.now();
  CHECK(served.ends(*raw, Millis(4000)));
  CHECK(served.tier.loop.now() - began >= Millis(1100));
  CHECK(served.count("control.silent_links") == 1);
  CHECK(served.server.node().sessions().connected() == 1);
  served.check_good();
}

TEST_CASE("a node without a free descriptor goes on with what it has, and takes the rest later") {
  Served served;
  served.check_good();
  ScriptedInvoker raw(served.server.address());
  raw.send(served.tier.open_message());
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  rlimit full = before;
  full.rlim_cur = static_cast<rlim_t>(lowest_free_descriptor());
  // Danger: the sanitizers need descriptors for some checks. Nothing is asserted while there are none.
  setrlimit(RLIMIT_NOFILE, &full);
  served.tier.change("without", "descriptors");
  served.tier.wait(Millis(450));
  setrlimit(RLIMIT_NOFILE, &before);
  const std::uint64_t pauses = served.count("control.no_descriptor");
  CHECK((pauses >= 2 && pauses <= 5));
  CHECK(served.tier.up_to_date(served.good));
  CHECK(served.tier.run_until(
      [&] {
        raw.read();
        return raw.first<control::Welcome>() != nullptr;
      },
      Millis(1000)));
  served.check_good();
}

TEST_CASE("connections beyond the bound close at once, and are counted") {
  NodeServer::Limits limits;
  limits.spare_connections = 2;
  Served served(Millis(600), limits, 3);
  std::vector<std::unique_ptr<ScriptedInvoker>> others;
  for (int i = 0; i < 7; ++i)
    others.push_back(std::make_unique<ScriptedInvoker>(served.server.address()));
  const auto ended = [&] {
    for (const auto& one : others)
      one->read();
    return std::count_if(others.begin(), others.end(), [](const auto& one) { return one->ended; });
  };
  CHECK(served.tier.run_until([&] { return ended() == 3; }, Millis(1000)));
  CHECK(served.server.links() == 5);
  CHECK(served.count("control.too_many_links") == 3);
  served.check_good();
}

}  // namespace
}  // namespace lotusyard::test
