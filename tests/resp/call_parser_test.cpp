// Parsing of CALL commands into calls, and rejection of malformed ones.
#include "resp/call_parser.h"

#include <catch2/catch.hpp>

namespace lotusyard::test {
namespace {

using core::Millis;
using resp::CallParseError;
using resp::Words;

const std::string kRequired = "ref=00000000000000a1,allow=800,lookup=00000000000000a2";

core::Call parse_valid(const Words& command) {
  auto parsed = resp::parse_call(Words(command), Millis(5));
  REQUIRE(std::holds_alternative<core::Call>(parsed));
  return std::get<core::Call>(parsed);
}

CallParseError parse_faulty(const Words& command) {
  auto parsed = resp::parse_call(Words(command), Millis(5));
  REQUIRE(std::holds_alternative<CallParseError>(parsed));
  return std::get<CallParseError>(parsed);
}

Words with_fields(const std::string& fields) { return {"CALL", "7", "bin-check", fields, "body"}; }

TEST_CASE("a call with only the required fields has the defaults of all others") {
  const core::Call call = parse_valid({"CALL", "7", "bin-check", kRequired});
  CHECK(call.class_name == "bin-check");
  CHECK(call.ref == "00000000000000a1");
  CHECK(call.function_name == "00000000000000a2");
  CHECK(call.function == 0xa2);
  CHECK(call.timeout == Millis(800));
  CHECK(call.arrived == Millis(5));
  CHECK(call.body.empty());
  CHECK(call.tenant.empty());
  CHECK(call.key.empty());
  CHECK_FALSE(call.retry);
  CHECK_FALSE(call.cost_hint);
  CHECK(call.memory_mb == 0);
  CHECK(call.lanes == 1);
}

TEST_CASE("each field of a call is parsed") {
  const core::Call call = parse_valid(
      with_fields(kRequired + ",project=mill,effort=2.5,replay=key-1,dup=1,spec=memory_mb:300;lanes:4"));
  CHECK(call.tenant == "mill");
  CHECK(call.cost_hint == 2.5);
  CHECK(call.key == "key-1");
  CHECK(call.retry);
  CHECK(call.memory_mb == 300);
  CHECK(call.lanes == 4);
  CHECK(call.body == "body");
}

TEST_CASE("a call of fewer than 4 or more than 5 words is rejected") {
  CHECK(parse_faulty({"CALL", "7"}) == CallParseError::wrong_word_count);
  CHECK(parse_faulty({"CALL", "7", "bin-check"}) == CallParseError::wrong_word_count);
  CHECK(parse_faulty({"CALL", "7", "bin-check", kRequired, "body", "more"}) ==
        CallParseError::wrong_word_count);
}

TEST_CASE("a call with a missing or unreadable field is rejected") {
  const std::string fields = GENERATE(
      std::string(), std::string("ref"), std::string("ref=00000000000000a1,lookup=00000000000000a2"),
      std::string("ref=a1,allow=800,lookup=00000000000000a2"),
      std::string("ref=00000000000000a1,allow=800,lookup=0"),
      std::string("ref=00000000000000a1,allow=-1,lookup=00000000000000a2"),
      std::string("ref=00000000000000a1,allow=3600001,lookup=00000000000000a2"), kRequired + ",allow=800",
      kRequired + ",effort=much", kRequired + ",dup=0", kRequired + ",dup=", kRequired + ",spec=lanes",
      kRequired + ",spec=lanes:x", kRequired + ",spec=memory_mb:x", kRequired + ",spec=lanes:1;lanes:1");
  INFO(fields);
  CHECK(parse_faulty(with_fields(fields)) == CallParseError::unreadable_fields);
}

}  // namespace
}  // namespace lotusyard::test
