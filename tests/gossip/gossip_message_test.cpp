// Encoding of gossip messages, and decoding of valid and corrupt ones.
#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "gossip/message.h"

namespace lotusyard::test {
namespace {

using gossip::MemberStatus;

TEST_CASE("messages are read completely or rejected, however they are corrupted") {
  std::mt19937_64 random(3);
  gossip::Message message;
  message.self = {"a", "127.0.0.1:1", 3, 4, MemberStatus::alive, {}};
  message.members = {{"b", "127.0.0.1:2", 1, 0, MemberStatus::suspect, "c"}};
  message.observations = {{"h", 1.5, "a", 3, 9, false}};
  const std::string body = gossip::encode_message(message);
  const auto decoded = gossip::decode_message(body);
  REQUIRE(decoded);
  CHECK((decoded->members[0].suspected_by == "c" && decoded->observations[0].sequence == 9 &&
         decoded->self.refutation == 4));
  for (int i = 0; i < 4000; ++i) {
    std::string corrupt = body;
    if (i % 2 == 0)
      corrupt.resize(random() % corrupt.size());
    corrupt[random() % (corrupt.size() + 1)] = static_cast<char>(random());
    gossip::decode_message(corrupt);
  }
  CHECK_FALSE(gossip::decode_message(std::string(1U << 20, '[')));
  message.self.refutation = ~0ULL;
  CHECK_FALSE(gossip::decode_message(gossip::encode_message(message)));  // an implausible refutation count
}

}  // namespace
}  // namespace lotusyard::test
