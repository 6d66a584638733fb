// Answers of a host whose bytes were changed, dropped or added on the way. What is served is what the host
// made, or what its protocol has no means to tell from that.
#include <catch2/catch.hpp>

#include "hosts/host_protocol.h"
#include "support/random_input.h"

namespace lotusyard::hosts {
namespace {

const std::string kFirstRef = "9b1f03aa5c7e2d41";
const std::string kSecondRef = "27d4c1908be6f35a";
const std::string kFirstBody = "done: bin 9b1f03aa, 412 kg";
const std::string kSecondBody = "done: bin 27d4c190, 388 kg";

std::string answer_line(const std::string& ref, const std::string& body) {
  return ref + " data l=inflight:1;util:0.5,crowd=2 " + std::to_string(body.size());
}

// How an answer that was spoilt is taken.
enum class Reading {
  unchanged,    // as it was made
  fields_only,  // another load report or concurrency, which decide where later calls go
  malformed,    // the connection ends
  incomplete,   // more bytes are waited for, until the connection ends
  other_ref,    // for a request that is not open
  other_word,   // as one that was not served
  wrong         // served to a client, and not what the host made for it
};

bool is_wrong(const HostReply& reply) {
  if (reply.status != ReplyStatus::succeeded)
    return false;
  return (reply.id == kFirstRef && reply.body != kFirstBody) ||
         (reply.id == kSecondRef && reply.body != kSecondBody);
}

// Two answers on one connection, the line of the first one spoilt.
Reading read_spoilt(const std::string& line) {
  const std::string bytes = line + "\r\n" + kFirstBody + "\r\n" + answer_line(kSecondRef, kSecondBody) +
                            "\r\n" + kSecondBody + "\r\n";
  LineParser parser;
  std::vector<Reply> framed;
  const bool well_formed = parser.parse(bytes, framed);
  std::vector<HostReply> replies;
  bool all_decoded = true;
  for (std::size_t i = 0; i < framed.size() && all_decoded; ++i) {
    auto reply = decode_reply(std::move(framed[i]), {"inflight", "util"});
    all_decoded = reply.has_value();
    if (all_decoded)
      replies.push_back(std::move(*reply));
  }
  if (std::any_of(replies.begin(), replies.end(), is_wrong))
    return Reading::wrong;
  if (!well_formed || !all_decoded)
    return Reading::malformed;
  if (replies.size() < 2)
    return Reading::incomplete;
  if (replies[0].id != kFirstRef)
    return Reading::other_ref;
  if (replies[0].status != ReplyStatus::succeeded)
    return Reading::other_word;
  const bool same_fields =
      replies[0].host_concurrency == 2 && replies[0].report == std::vector<double>{1, 0.5};
  return same_fields ? Reading::unchanged : Reading::fields_only;
}

// Guards against a message that lacks a part and is completed by a default.
TEST_CASE("no changed, dropped or added byte in the line of an answer serves what the host did not make") {
  const std::string line = answer_line(kFirstRef, kFirstBody);
  std::map<Reading, int> readings;
  for (std::size_t at = 0; at < line.size(); ++at) {
    ++readings[read_spoilt(line.substr(0, at) + line.substr(at + 1))];
    for (int byte = 0; byte < 256; ++byte) {
      std::string changed = line;
      changed[at] = static_cast<char>(byte);
      ++readings[read_spoilt(changed)];
      ++readings[read_spoilt(line.substr(0, at) + static_cast<char>(byte) + line.substr(at))];
    }
  }
  CHECK(readings[Reading::wrong] == 0);
  CHECK(readings[Reading::other_word] == 0);
  // Each outcome that the protocol allows for was met.
  CHECK(readings[Reading::malformed] > 0);
  CHECK(readings[Reading::incomplete] > 0);
  CHECK(readings[Reading::other_ref] > 0);
  CHECK(readings[Reading::fields_only] > 0);
  CHECK(readings[Reading::unchanged] >= static_cast<int>(line.size()));  // a byte replaced by itself
}

void spoil_one_byte(test::Random& random, std::string& line) {
  const std::size_t at = test::below(random, line.size());
  // Half of the bytes are ones that mean something in a line.
  static const std::string kMeaningful = " \r\n-0123456789=,:;";
  const char byte = test::below(random, 2) == 0 ? static_cast<char>(random())
                                                : kMeaningful[test::below(random, kMeaningful.size())];
  switch (test::below(random, 3)) {
    case 0:
      line[at] = byte;
      break;
    case 1:
      line.insert(at, 1, byte);
      break;
    default:
      line.erase(at, 1);
  }
}

TEST_CASE("two changed, dropped or added bytes serve nothing that the host did not make") {
  constexpr int kRounds = 200000;
  test::Random random(4711);
  std::vector<std::string> wrong;
  const std::string line = answer_line(kFirstRef, kFirstBody);
  for (int round = 0; round < kRounds; ++round) {
    std::string spoilt = line;
    spoil_one_byte(random, spoilt);
    spoil_one_byte(random, spoilt);
    if (read_spoilt(spoilt) == Reading::wrong)
      wrong.push_back(spoilt);
  }
  CHECK(wrong == std::vector<std::string>());
}

// The protocol has no checksum. What it cannot tell is stated here, so that a reader does not rely on it.
TEST_CASE("the protocol cannot tell an answer under the ref of another open request, or a length that fits") {
  CHECK(read_spoilt(answer_line(kSecondRef, kFirstBody)) == Reading::wrong);
  const std::size_t next_message = answer_line(kSecondRef, kSecondBody).size() + kSecondBody.size() + 2;
  const std::size_t up_to_its_end = kFirstBody.size() + 2 + next_message;
  CHECK(read_spoilt(kFirstRef + " data - " + std::to_string(up_to_its_end)) == Reading::wrong);
}

}  // namespace
}  // namespace lotusyard::hosts
