// The parsers, with valid messages in random pieces and with random bytes.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "amqp/wire.h"
#include "discovery/discovery.h"
#include "hosts/line_parser.h"
#include "net/fields.h"
#include "resp/parser.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

constexpr int kRounds = 300;

std::string random_bytes(Random& random, std::size_t most) {
  std::string out(below(random, most), ' ');
  for (char& c : out)
    c = static_cast<char>(random());
  return out;
}

TEST_CASE("RESP arrays parse to what was written, in whatever pieces they arrive") {
  Random random(1);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<resp::Words> sent(1 + below(random, 4));
    std::string bytes;
    for (auto& words : sent) {
      words.resize(1 + below(random, resp::Parser::kMaxWords));
      for (auto& word : words)
        word = random_bytes(random, below(random, 20) == 0 ? 3000 : 20);
      resp::write_array(bytes, std::vector<std::string_view>(words.begin(), words.end()));
    }
    bool well_formed = false;
    CHECK(parse_in_parts<resp::Parser, resp::Words>(random, bytes, well_formed) == sent);
    CHECK(well_formed);
  }
}

TEST_CASE("anything but a RESP array of allowed size is malformed") {
  Random random(2);
  bool well_formed = true;
  for (const char* bad : {"*0\r\n", "*9\r\n", "*-1\r\n", "*1\r\n$16385\r\n", "*1\r\n$x\r\n",
                          "*1\r\n$1\r\nabc", "+OK\r\n", "*1\r$", "*1111111111111111", "*1\r\n$-1\r\n"}) {
    parse_in_parts<resp::Parser, resp::Words>(random, bad, well_formed);
    CHECK_FALSE(well_formed);
  }
  // Only one word may be long: the bound is checked before memory is allocated.
  const std::string long_word = "$16384\r\n" + std::string(16384, 'x') + "\r\n";
  parse_in_parts<resp::Parser, resp::Words>(random, "*2\r\n" + long_word + "$2049\r\n", well_formed);
  CHECK_FALSE(well_formed);
  parse_in_parts<resp::Parser, resp::Words>(random, "*1\r\n$0\r\n\r\n", well_formed);
  CHECK(well_formed);
}

TEST_CASE("hosts' lines parse to what was written, in whatever pieces they arrive") {
  Random random(3);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes;
    std::vector<std::string> sent, read;
    for (std::size_t i = 0; i < 1 + below(random, 5); ++i) {
      const std::string body = random_bytes(random, 300), id = net::hex16(random());
      const bool has_body = below(random, 2) == 0;
      bytes +=
          id + " data crowd=3" + (has_body ? ' ' + std::to_string(body.size()) + "\r\n" + body : "") + "\r\n";
      sent.push_back(id + "crowd=3" + (has_body ? body : ""));
    }
    bool well_formed = false;
    for (const auto& r : parse_in_parts<hosts::LineParser, hosts::Reply>(random, bytes, well_formed)) {
      read.push_back(r.id + r.fields + r.body.value_or(""));
    }
    CHECK(read == sent);
    CHECK(well_formed);
  }
  bool well_formed = true;
  for (const char* bad :
       {"\r\n", "one\r\n", "a b c d e\r\n", "a b - 3\r\nabcd\r\n", "a b - x\r\n", "a b\n", "a  b\r\n"}) {
    parse_in_parts<hosts::LineParser, hosts::Reply>(random, bad, well_formed);
    CHECK_FALSE(well_formed);
  }
  parse_in_parts<hosts::LineParser, hosts::Reply>(random, std::string(3000, 'a'), well_formed);
  CHECK_FALSE(well_formed);
}

TEST_CASE("AMQP frames, properties and tables parse to what was written, in whatever pieces they arrive") {
  Random random(4);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes;
    amqp::Properties p;
    p.message_id = random_bytes(random, 255);
    p.reply_to = "answers";
    p.delivery_mode = 2;
    p.priority = static_cast<std::uint8_t>(1 + below(random, 9));
    p.timestamp = random();
    p.content_encoding = random_bytes(random, 9);
    p.type = random_bytes(random, 9);
    p.user_id = random_bytes(random, 9);
    p.app_id = random_bytes(random, 255);
    p.headers = {{"text", random_bytes(random, 200)},
                 {"integer", std::int64_t(random())},
                 {"flag", true},
                 {"real", 0.5}};
    const std::string header = amqp::content_header(random() >> 1, p), body = random_bytes(random, 900);
    bytes += amqp::frame(amqp::FrameType::header, 1, header) + amqp::frame(amqp::FrameType::body, 1, body);
    bytes += amqp::frame(amqp::FrameType::heartbeat, 0, {});
    bool well_formed = false;
    const auto frames = parse_in_parts<amqp::FrameParser, amqp::Frame>(random, bytes, well_formed);
    REQUIRE(frames.size() == 3);
    CHECK((well_formed && frames[1].payload == body && frames[1].channel == 1));
    const auto read = amqp::read_content_header(frames[0].payload);
    REQUIRE(read);
    CHECK(read->second.message_id == p.message_id);
    CHECK((read->second.priority == p.priority && read->second.timestamp == p.timestamp));
    CHECK((read->second.type == p.type && read->second.user_id == p.user_id &&
           read->second.app_id == p.app_id));
    CHECK(read->second.content_encoding == p.content_encoding);
    CHECK(read->second.headers == p.headers);
  }
}

// Bytes as the specification prints them, so that an error common to writer and reader is detected.
TEST_CASE("AMQP bytes are in the order of the specification") {
  using namespace std::string_literals;
  CHECK(amqp::frame(amqp::FrameType::heartbeat, 0, {}) == "\x08\0\0\0\0\0\0\xCE"s);
  CHECK(amqp::frame(amqp::FrameType::method, 1, "\0\x3C\0\x50"s) == "\x01\0\x01\0\0\0\x04\0\x3C\0\x50\xCE"s);
  CHECK(amqp::Writer().table({{"a", true}}).bytes() == "\0\0\0\x04\x01"s + "at\x01"s);
  amqp::Properties p;
  p.correlation_id = "c";
  p.delivery_mode = 2;
  CHECK(amqp::content_header(5, p) == "\0\x3C\0\0\0\0\0\0\0\0\0\x05\x14\0\x02\x01"s + "c"s);
  const std::string items = "\x01sS\0\0\0\x02hi\x01nI\xFF\xFF\xFF\xFE\x01vV"s;
  const std::string bytes = "\0\0\0"s + static_cast<char>(items.size()) + items;
  amqp::Reader table(bytes);
  CHECK(table.table() == amqp::Table{{"s", "hi"s}, {"n", std::int64_t{-2}}, {"v", std::monostate()}});
}

TEST_CASE("random bytes make a stream malformed or are ignored; they never crash the process") {
  Random random(5);
  bool well_formed = false;
  for (int round = 0; round < 20 * kRounds; ++round) {
    parse_in_parts<resp::Parser, resp::Words>(random, garbage(random, "*$1230\r\n"), well_formed);
    parse_in_parts<hosts::LineParser, hosts::Reply>(random, garbage(random, "ab =-1 20\r\n"), well_formed);
    parse_in_parts<amqp::FrameParser, amqp::Frame>(
        random, garbage(random, std::string("\1\2\3\0\0\0\1\xCE", 8)), well_formed);
    parse_in_parts<discovery::LineSplitter, std::string>(random, garbage(random, "{}[]\":1,\n"), well_formed);
    amqp::read_content_header(std::string("\0\x3C\0\0", 4) +
                              garbage(random, std::string("\0\1FAStx\xFF", 8)));
    const std::string random_table = garbage(random, std::string("\0\0\0\1FAStx", 9));
    amqp::Reader reader(random_table);
    reader.table();
    net::parse_fields(garbage(random, "a=b,;:"));
    discovery::EventReader event_reader;
    core::HostListUpdate list;
    event_reader.read_line(R"({"seq":1,"fleet":{"members":[)" + garbage(random, "{}\"id:,") + "]}}", list);
  }
}

TEST_CASE("discovery events are accepted once and in order") {
  const auto event = [](int seq) {
    return R"({"seq":)" + std::to_string(seq) +
           R"(,"fleet":{"complete":false,"members":[{"id":"s","host_port":"127.0.0.1:9",)"
           R"("phase":"draining","up_since_ms":5}]}})";
  };
  discovery::EventReader event_reader(3);
  core::HostListUpdate list;
  CHECK(event_reader.read_line(event(4), list) == discovery::EventReader::Result::list_update);
  REQUIRE(list.hosts.size() == 1);
  CHECK(list.hosts[0].entry.state == core::HostState::draining);
  CHECK(list.hosts[0].entry.started == Millis(5));
  CHECK(event_reader.read_line(event(4), list) == discovery::EventReader::Result::ignored);
  // A heartbeat shows whether an event is missing, as a bare number or as an object with nothing else.
  CHECK(event_reader.read_line("4", list) == discovery::EventReader::Result::heartbeat);
  CHECK(event_reader.read_line(R"({"seq":4})", list) == discovery::EventReader::Result::heartbeat);
  CHECK(event_reader.read_line("3", list) == discovery::EventReader::Result::ignored);
  CHECK(event_reader.read_line(R"({"seq":3})", list) == discovery::EventReader::Result::ignored);
  // Announces event 5 without carrying it.
  CHECK(event_reader.read_line(R"({"seq":5})", list) == discovery::EventReader::Result::gap);
  CHECK(event_reader.last_sequence() == 4);
  CHECK(event_reader.read_line("6", list) == discovery::EventReader::Result::gap);
  CHECK(event_reader.read_line(event(6), list) == discovery::EventReader::Result::gap);
  CHECK(event_reader.read_line("{", list) == discovery::EventReader::Result::malformed);
  CHECK(event_reader.last_sequence() == 4);
}

}  // namespace
}  // namespace lotusyard::test
