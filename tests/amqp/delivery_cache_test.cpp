// Eviction in the delivery cache.
#include "amqp/delivery_cache.h"

#include <catch2/catch.hpp>

namespace lotusyard::test {
namespace {

using core::Millis;

TEST_CASE("cached answers are bounded in number and memory, and the oldest are evicted first") {
  amqp::DeliveryCache cache(3, 1U << 20);
  for (const char* id : {"a", "b", "c", "d"}) {
    cache.insert(id, true, {});
    cache.complete(id, {core::CallStatus::succeeded, Millis(0), "x"});
  }
  cache.insert("runs", true, {});
  CHECK(cache.find("a") == nullptr);
  CHECK(cache.find("b") != nullptr);
  CHECK(cache.size() == 4);
  CHECK(cache.running_count() == 1);
  amqp::DeliveryCache small(100, 4000);
  for (int i = 0; i < 20; ++i) {
    small.insert(std::to_string(i), true, {});
    small.complete(std::to_string(i), {core::CallStatus::succeeded, Millis(0), std::string(500, 'x')});
  }
  CHECK(small.size() <= 4);
  CHECK(small.find("19") != nullptr);
}

}  // namespace
}  // namespace lotusyard::test
