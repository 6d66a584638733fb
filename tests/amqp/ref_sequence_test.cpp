// The refs under which hosts get the calls that come over AMQP.
#include "amqp/ref_sequence.h"

#include "support/amqp_fixture.h"

namespace lotusyard::test {
namespace {

// More than a spoilt byte or two can change.
constexpr std::size_t kMinDifference = 3;
constexpr std::size_t kRefDigits = 16;

std::size_t difference(const std::string& one, const std::string& other) {
  std::size_t count = 0;
  for (std::size_t i = 0; i < kRefDigits; ++i)
    count += one.at(i) == other.at(i) ? 0 : 1;
  return count;
}

std::size_t least_difference(const std::vector<std::string>& refs, std::size_t window) {
  std::size_t least = SIZE_MAX;
  for (std::size_t i = 0; i < refs.size(); ++i) {
    for (std::size_t j = i + 1; j < std::min(refs.size(), i + window); ++j)
      least = std::min(least, difference(refs[i], refs[j]));
  }
  return least;
}

TEST_CASE("refs of calls that may be open together differ by more than two digits") {
  constexpr std::size_t kOpenCalls = 256;
  amqp::RefSequence sequence(GENERATE(0, 7, UINT64_MAX));
  std::vector<std::string> refs;
  for (std::size_t i = 0; i < 8 * kOpenCalls; ++i)
    refs.push_back(sequence.next());
  CHECK(least_difference(refs, kOpenCalls) >= kMinDifference);
}

// Guards against an answer that is served to another caller, because one spoilt digit made its ref that of
// the next call.
TEST_CASE("the refs of calls over AMQP that a host gets differ by more than two digits") {
  AmqpFixture t(1);
  std::vector<std::string> refs;
  t.invoker.host[0]->on_request = [&](const hosts::Reply& line) {
    if (line.id == "exec")
      refs.push_back(line.word);
  };
  for (const char* id : {"a", "b", "c", "d"}) {
    t.broker.send(id, "bin-check", id);
    REQUIRE(t.wait_for_answer(id));
  }
  REQUIRE(refs.size() >= 4);
  CHECK(least_difference(refs, refs.size()) >= kMinDifference);
}

}  // namespace
}  // namespace lotusyard::test
