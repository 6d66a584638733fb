// A member's observations of hosts: the value that each serves, and which are down.
#include "maintenance/host_observer.h"

#include <catch2/catch.hpp>

#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

TEST_CASE("a host's serving value grows with its calls, and is higher if no other host serves the function") {
  maintenance::HostObserver observer;
  for (int i = 0; i < 100; ++i) {
    const Millis at(i * 100);
    observer.record_success("busy", 1, 1, at);
    observer.record_success("other", 1, 1, at);
    if (i % 2 == 0)
      observer.record_success("alone", 2, 1, at);
  }
  const Millis now(10000);
  CHECK(observer.serving_value("alone", now) > observer.serving_value("busy", now));
  CHECK(observer.serving_value("busy", now) == Approx(observer.serving_value("other", now)).epsilon(0.05));
  CHECK(observer.serving_value("unknown", now) == 0);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(observer.is_down("busy", now));
    observer.record_failure("busy", now);
  }
  CHECK(observer.is_down("busy", now));
  observer.record_success("busy", 1, 1, now);
  CHECK_FALSE(observer.is_down("busy", now));
  // The table of functions stays within its limit.
  for (std::uint64_t function = 0; function < 3 * maintenance::HostObserver::kMaxFunctions; ++function)
    observer.record_success("busy", function, 1, now);
}

}  // namespace
}  // namespace lotusyard::test
