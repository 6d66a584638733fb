// What members send each other: frames, raft messages, and the first message of a connection.
#include "raft/peer_transport.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/counters.h"
#include "net/event_loop.h"
#include "raft/frame.h"
#include "raft/message_codec.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using raft::Frame;
using raft::FrameParser;

// The frame parser with the name that parse_in_parts() calls.
struct CutFrameParser {
  FrameParser parser;
  bool parse(std::string_view bytes, std::vector<Frame>& out) { return parser.parse(bytes, out); }
};

// Three entries, of which the second is longer than any buffer.
class AppendEntries {
 public:
  AppendEntries() {
    for (int i = 0; i < kEntries; ++i) {
      entries_[i].term = static_cast<raft_term>(i + 1);
      entries_[i].type = RAFT_COMMAND;
      entries_[i].buf = {data[i].data(), data[i].size()};
    }
  }
  std::string encode() {
    raft_message message{};
    message.type = RAFT_IO_APPEND_ENTRIES;
    message.append_entries = {9, 8, 7, 6, entries_, kEntries};
    return raft::encode_message(message);
  }

  static constexpr int kEntries = 3;
  std::string data[kEntries] = {"one", std::string(70000, 'x'), "three"};

 private:
  raft_entry entries_[kEntries] = {};
};

void check_frames(AppendEntries& sent, const std::vector<Frame>& frames) {
  REQUIRE(frames.size() == 2);
  auto message = raft::decode_message(frames[0].body);
  REQUIRE(message);
  REQUIRE(message->append_entries.n_entries == 3);
  CHECK(message->append_entries.prev_log_index == 8);
  const raft_buffer& second = message->append_entries.entries[1].buf;
  CHECK(std::string(static_cast<const char*>(second.base), 70000) == sent.data[1]);
  raft::free_message(*message);
}

// Nothing of this may end the process.
void decode_corrupt_input(Random& random, const std::string& body, bool truncate) {
  std::string corrupt = body.substr(0, 120);
  if (truncate)
    corrupt.resize(below(random, corrupt.size()));
  else
    corrupt[below(random, corrupt.size())] = static_cast<char>(random());
  if (auto message = raft::decode_message(corrupt))
    raft::free_message(*message);
  FrameParser parser;
  std::vector<Frame> frames;
  parser.parse(garbage(random, std::string("\0\0\0\x01\x02\x03", 6)), frames);
  raft::decode_hello(garbage(random, "{}:,\"abc1"));
}

TEST_CASE("frames and raft messages are read however they are cut, and malformed ones are rejected") {
  Random random(5);
  AppendEntries sent;
  const std::string body = sent.encode();
  const std::string bytes =
      raft::encode_frame(Frame::Kind::consensus, body) + raft::encode_frame(Frame::Kind::message, "t{}");
  for (int i = 0; i < 50; ++i) {
    bool well_formed = false;
    const auto frames = parse_in_parts<CutFrameParser, Frame>(random, bytes, well_formed);
    REQUIRE(well_formed);
    check_frames(sent, frames);
  }
  for (int i = 0; i < 3000; ++i)
    decode_corrupt_input(random, body, i % 3 == 0);
  FrameParser parser;
  std::vector<Frame> frames;
  CHECK_FALSE(parser.parse(std::string("\x7f\xff\xff\xff\x02", 5), frames));  // longer than any frame
}

TEST_CASE("a peer of another group, version or lease, or with this member's id, is rejected with a reason") {
  net::EventLoop loop;
  metrics::Counters counters;
  raft::Hello own;
  own.cluster = "yard";
  own.member = "a";
  own.from = 1;
  own.lease = 1000;
  std::vector<std::string> received;
  std::vector<std::string> log;
  raft::PeerTransport transport(
      loop, counters, own,
      [&](const raft::Hello& from, Frame&& frame) { received.push_back(from.member + frame.body); },
      [&](const std::string& line) { log.push_back(line); });
  REQUIRE(transport.listen("127.0.0.1:0"));
  const auto connect_peer = [&](const std::function<void(raft::Hello&)>& change) {
    raft::Hello peer_hello = own;
    peer_hello.member = "b";
    peer_hello.from = 2;
    change(peer_hello);
    std::vector<std::string> rejections;
    raft::PeerTransport peer(
        loop, counters, peer_hello, [](const raft::Hello&, Frame&&) {},
        [&](const std::string& line) { rejections.push_back(line); });
    peer.send(1, transport.address(), Frame::Kind::message, "hello");
    const std::size_t before = received.size();
    for (int i = 0; i < 400 && rejections.empty() && received.size() == before; ++i)
      loop.run_once(loop.now() + Millis(5), [] {});
    return rejections.empty() ? std::string("accepted") : rejections.back();
  };
  CHECK(connect_peer([](raft::Hello&) {}) == "accepted");
  CHECK_THAT(connect_peer([](raft::Hello& hello) { hello.cluster = "other"; }),
             Catch::EndsWith("another group"));
  CHECK_THAT(connect_peer([](raft::Hello& hello) { ++hello.version; }),
             Catch::EndsWith("another version of the protocol"));
  CHECK_THAT(connect_peer([](raft::Hello& hello) { hello.lease = 2; }), Catch::Contains("another lease"));
  CHECK_THAT(connect_peer([](raft::Hello& hello) { hello.from = 1; }),
             Catch::EndsWith("this member's own id"));
  CHECK(received == std::vector<std::string>{"bhello"});
  CHECK(counters.value("group.refused") == 4);
}

}  // namespace
}  // namespace lotusyard::test
