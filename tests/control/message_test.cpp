// Encoding of messages, records and changes: values survive a round trip however the stream is divided, and
// corrupted input is rejected.
#include "catch2/catch.hpp"
#include "control/change.h"
#include "control/message_codec.h"
#include "control/property.h"

namespace lotusyard::test {
namespace {

using namespace control;  // nearly every name of it is used

constexpr std::size_t kHeaderLength = 5;

std::string some_text(int longest = 12) {
  return *rc::gen::resize(longest, rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
}
std::uint64_t some_number() { return *rc::gen::arbitrary<std::uint64_t>(); }
Millis some_duration() { return Millis(*rc::gen::inRange(0, 1000000)); }
std::optional<double> some_share() {
  const int share = *rc::gen::inRange(-1, 1001);
  return share < 0 ? std::nullopt : std::optional<double>(share / 1000.0);
}
std::vector<NodeAddress> some_nodes() {
  std::vector<NodeAddress> out(*rc::gen::inRange<std::size_t>(0, 4));
  for (NodeAddress& node : out)
    node = {some_text(), some_text(), some_text(), some_text()};
  return out;
}
Open some_open() {
  Open out;
  out.version = static_cast<std::uint32_t>(some_number());
  out.cluster = some_text();
  out.invoker = some_text();
  out.zone = some_text();
  out.incarnation = some_number();
  out.position = some_number();
  out.terms.lease = some_duration();
  out.terms.max_attempt_time = some_duration();
  return out;
}
Message some_message() {
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
      return some_open();
    case 1:
      return Welcome{some_text(), some_number(), some_nodes()};
    case 2: {
      const auto reason = static_cast<RefusalReason>(*rc::gen::inRange(1, 8));
      return Refusal{reason, some_duration(), some_nodes()};
    }
    case 3:
      return Renew{some_number(), some_number(), some_number()};
    case 4:
      return Grant{some_number(), some_duration(), some_share()};
    case 5:
      return SnapshotChunk{some_number(), some_number(), some_number(), some_text(200)};
    case 6:
      return Delta{some_number(), some_number(), some_text(200)};
    case 7:
      return Resume{some_number()};
    case 8:
      return Close{};
    default:
      return Forward{some_text(), some_text(200)};
  }
}
std::vector<std::string> some_frames() {
  std::vector<std::string> out(*rc::gen::inRange<std::size_t>(1, 8));
  for (std::string& frame : out)
    frame = encode(some_message());
  return out;
}
std::string joined(const std::vector<std::string>& frames) {
  std::string out;
  for (const std::string& frame : frames)
    out += frame;
  return out;
}

TEST_CASE("messages survive encoding and decoding, however the stream is divided") {
  CHECK(property_holds("any division gives the same messages", 500, [] {
    const auto frames = some_frames();
    const std::string stream = joined(frames);
    MessageReader reader(kMaxFrameBytesToInvoker);
    std::vector<Message> messages;
    for (std::size_t at = 0; at < stream.size();) {
      const std::size_t size = *rc::gen::inRange<std::size_t>(1, 40);
      RC_ASSERT(reader.parse(std::string_view(stream).substr(at, size), messages));
      at += size;
    }
    RC_ASSERT(messages.size() == frames.size());
    for (std::size_t i = 0; i < frames.size(); ++i)
      RC_ASSERT(encode(messages[i]) == frames[i]);
  }));
}

TEST_CASE("the fields of a message keep their values") {
  Open open;
  open.cluster = "c";
  open.invoker = "i";
  open.zone = "z";
  open.incarnation = 1ULL << 63;
  open.position = 17;
  open.terms = {Millis(1234.5), 0.02, Millis(777)};
  MessageReader reader(kMaxFrameBytesToNode);
  std::vector<Message> messages;
  REQUIRE(reader.parse(encode(open) + encode(Forward{"part", "word"}), messages));
  REQUIRE(messages.size() == 2);
  const auto& read = std::get<Open>(messages[0]);
  CHECK((read.version == kProtocolVersion && read.cluster == "c" && read.invoker == "i" && read.zone == "z"));
  CHECK((read.incarnation == 1ULL << 63 && read.position == 17));
  CHECK((read.terms.lease == Millis(1234.5) && read.terms.max_attempt_time == Millis(777)));
  CHECK(read.terms.clock_drift == Approx(0.02));
  CHECK(std::get<Forward>(messages[1]).payload == "word");
}

TEST_CASE("flipped bits and garbage are decoded or rejected, and nothing is read after a rejection") {
  CHECK(property_holds("bit flips are survived", 1000, [] {
    std::string stream = joined(some_frames());
    const int flips = *rc::gen::inRange(1, 6);
    for (int i = 0; i < flips; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, stream.size());
      stream[at] = static_cast<char>(stream[at] ^ (1 << *rc::gen::inRange(0, 8)));
    }
    MessageReader reader(kMaxFrameBytesToInvoker);
    std::vector<Message> messages;
    if (reader.parse(stream, messages))
      return;
    const std::size_t before = messages.size();
    RC_ASSERT(!reader.parse(encode(Close{}), messages));
    RC_ASSERT(messages.size() == before);
  }));
  CHECK(property_holds("garbage is survived", 1000, [] {
    const std::string garbage = some_text(400);
    MessageReader reader(kMaxFrameBytesToInvoker);
    std::vector<Message> messages;
    reader.parse(garbage, messages);
    decode_change(garbage);
    decode_records(garbage);
  }));
}

TEST_CASE("a frame over the size limit is rejected by its header alone") {
  const auto accepts = [](std::size_t length) {
    std::string header = encode(Forward{"", ""}).substr(0, kHeaderLength);
    for (int i = 0; i < 4; ++i)
      header[3 - i] = static_cast<char>(length >> (8 * i) & 0xff);
    MessageReader reader(kMaxFrameBytesToNode);
    std::vector<Message> messages;
    return reader.parse(header, messages);
  };
  CHECK(accepts(kMaxFrameBytesToNode));
  CHECK_FALSE(accepts(kMaxFrameBytesToNode + 1));
  CHECK_FALSE(accepts(0xffffffff));
}

TEST_CASE("frames that are longer or shorter than their body, and unknown kinds, are rejected") {
  const auto accepts = [](const std::string& stream) {
    MessageReader reader(kMaxFrameBytesToNode);
    std::vector<Message> messages;
    return reader.parse(stream, messages);
  };
  const std::string valid = encode(Resume{5});
  CHECK(accepts(valid));
  std::string longer = valid + "x";
  ++longer[3];
  CHECK_FALSE(accepts(longer));
  std::string shorter = valid.substr(0, valid.size() - 1);
  --shorter[3];
  CHECK_FALSE(accepts(shorter));
  for (const char kind : {'\0', '\x0b', '\xff'}) {
    std::string unknown = valid;
    unknown[4] = kind;
    CHECK_FALSE(accepts(unknown));
  }
  CHECK_FALSE(accepts(encode(Forward{std::string(kMaxNameBytes + 1, 'x'), ""})));
  CHECK(accepts(encode(Forward{std::string(kMaxNameBytes, 'x'), ""})));
  CHECK_FALSE(accepts(encode(Refusal{static_cast<RefusalReason>(0), Millis(0), {}})));
  CHECK_FALSE(accepts(encode(Refusal{static_cast<RefusalReason>(99), Millis(0), {}})));
  CHECK_FALSE(accepts(encode(Grant{1, Millis(1e12)})));
}

Records some_records() {
  Records out;
  const int count = *rc::gen::inRange(0, 10);
  for (int i = 0; i < count; ++i)
    out[some_text(3)] = some_text();
  return out;
}

TEST_CASE("records and changes survive encoding, and a difference turns one state into another") {
  CHECK(property_holds("encodings and differences", 500, [] {
    const Records before = some_records(), after = some_records();
    RC_ASSERT((decode_records(encode_records(before)) == before));
    const Change change = difference(before, after);
    RC_ASSERT((decode_change(encode_change(change)) == change));
    Records changed = before;
    apply(changed, change);
    RC_ASSERT((changed == after));
  }));
}

TEST_CASE("truncated or corrupted changes and records are decoded completely or not at all") {
  CHECK(property_holds("truncated and corrupted encodings", 1000, [] {
    const Records records = some_records();
    const std::string state = encode_records(records);
    const std::string change = encode_change(difference(some_records(), records));
    for (const std::string& encoded : {state, change}) {
      const std::string cut = encoded.substr(0, *rc::gen::inRange<std::size_t>(0, encoded.size()));
      RC_ASSERT(!(encoded == state ? decode_records(cut).has_value() : decode_change(cut).has_value()));
      std::string corrupted = encoded;
      const auto at = *rc::gen::inRange<std::size_t>(0, encoded.size());
      corrupted[at] = static_cast<char>(corrupted[at] ^ (1 << *rc::gen::inRange(0, 8)));
      decode_records(corrupted);
      decode_change(corrupted);
    }
    RC_ASSERT(!decode_records(state + "x"));
    RC_ASSERT(!decode_change(change + "x"));
  }));
  CHECK_FALSE(decode_change(std::string(kMaxChangeBytes + 1, '\0')));
  const std::string huge_count("\xff\xff\xff\xff", 4);
  CHECK_FALSE(decode_change(huge_count));
  CHECK_FALSE(decode_records(huge_count));
  const Records two_keys{{"a", "1"}, {"b", "2"}};
  std::string duplicate = encode_records(two_keys);
  duplicate[duplicate.find('b')] = 'a';
  CHECK_FALSE(decode_records(duplicate));
}

}  // namespace
}  // namespace lotusyard::test
