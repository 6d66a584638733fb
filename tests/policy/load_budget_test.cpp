// The quota of load orders.
#include <gtest/gtest.h>

#include "policy/policy_fixture.h"

namespace lotusyard::policy::test {
namespace {

TEST(LoadBudget, LoadOrdersStayWithinTheQuota) {
  Settings settings = make_settings();
  settings.load_orders.window = Millis(5000);
  settings.load_orders.floor = 2;
  settings.load_orders.ratio = 0.1;
  PolicyFixture invoker(settings);
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d")});
  for (int i = 0; i < 25; ++i) {
    invoker.request(numbered("x", i), static_cast<std::uint64_t>(100 + i));
    if (!invoker.loads.empty())
      invoker.finish_load(invoker.loads.back().host, invoker.loads.back().function, 1);
    EXPECT_LE(static_cast<double>(invoker.loads.size()), 2 + 0.1 * (i + 1));
  }
  EXPECT_GE(invoker.loads.size(), 3U);
}

}  // namespace
}  // namespace lotusyard::policy::test
