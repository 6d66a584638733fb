// How long the refs of ended calls stay in use.
#include "core/ref_retention.h"

#include <catch2/catch.hpp>
#include <string>

#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a ref is in use while its call is open, however long") {
  core::RefRetention refs(settings());
  refs.add("open");
  refs.expire(Millis(1e9));
  CHECK(refs.contains("open"));
}

TEST_CASE("a ref is retained for the longest deadline if that is more than ten seconds") {
  core::Settings long_deadline = settings();
  long_deadline.classes[0].deadline = Millis(30000);
  core::RefRetention refs(settings());
  refs.add("ended");
  refs.retain("ended", Millis(1000));
  refs.apply_settings(long_deadline);
  refs.expire(Millis(31000));
  CHECK(refs.contains("ended"));
  refs.expire(Millis(31001));
  CHECK_FALSE(refs.contains("ended"));
}

TEST_CASE("of more than 8192 ended calls the refs of the oldest are dropped") {
  constexpr int kMaxEndedRefs = 8192;
  core::RefRetention refs(settings());
  for (int i = 0; i <= kMaxEndedRefs; ++i) {
    refs.add(std::to_string(i));
    refs.retain(std::to_string(i), Millis(0));
  }
  CHECK_FALSE(refs.contains("0"));
  CHECK(refs.contains("1"));
}

}  // namespace
}  // namespace lotusyard::test
