// The host filter: which hosts a call or a load may go to at all. It is asked wherever a host is considered.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>

#include "policy/router_fixture.h"

namespace lotusyard::policy::test {
namespace {

// Calls of the tenant "restricted" may go to the allowed hosts only, those of others anywhere.
class AllowedHosts final : public HostFilter {
 public:
  explicit AllowedHosts(std::set<std::string> allowed_hosts) : allowed_hosts_(std::move(allowed_hosts)) {}

  bool allows(const std::string& tenant, std::uint64_t, const std::string& host) override {
    return tenant != "restricted" || allowed_hosts_.count(host) != 0;
  }
  void forbid(const std::string& host) { allowed_hosts_.erase(host); }
  void forbid_all() { allowed_hosts_.clear(); }

 private:
  std::set<std::string> allowed_hosts_;
};

void request_for_tenant(RouterFixture& router, const std::string& id, const std::string& tenant,
                        std::uint64_t function = 1) {
  event::Request request;
  request.id = id;
  request.class_name = "safe";
  request.tenant = tenant;
  request.function = function;
  request.memory_mb = 100;
  request.load_hint = Millis(1000);
  request.expires_in = Millis(4000);
  router.handle(request);
}

// Of five hosts only one is allowed, with and without load orders.
TEST(HostFilter, NoCallAndNoLoadGoesToAForbiddenHost) {
  for (const bool load_orders : {false, true}) {
    Settings settings = make_settings();
    settings.load_orders.allowed = load_orders;
    AllowedHosts host_filter({"c"});
    RouterFixture router(settings);
    router.policy.set_host_filter(&host_filter);
    router.update_endpoints(
        {host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d"), host_entry("e")});
    for (int i = 0; i < 200; ++i) {
      request_for_tenant(router, std::to_string(i), "restricted", 1 + i % 7);
      for (const auto& load : std::exchange(router.loads, {})) {
        EXPECT_EQ(load.host, "c");
        router.finish_load(load.host, load.function, 1);
      }
      if (!router.sends.empty()) {
        EXPECT_EQ(router.sends.back().host, "c");
        router.answer(router.sends.back(), i % 5 == 0 ? Outcome::error : Outcome::ok);
      }
    }
    EXPECT_GT(router.sends.size(), 50U);
    EXPECT_FALSE(router.broke_rule);
  }
}

// An instance on a host that has become forbidden is of no use, nor to a call that failed elsewhere.
TEST(HostFilter, HostIsLeftOnceForbiddenAndACallWithoutAnAllowedHostIsRejectedAtOnce) {
  AllowedHosts host_filter({"a", "b"});
  RouterFixture router;
  router.policy.set_host_filter(&host_filter);
  router.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  request_for_tenant(router, "first", "restricted");
  if (!router.loads.empty())
    router.finish_load(router.loads[0].host, 1, 1);
  ASSERT_EQ(router.sends.size(), 1U);
  const std::string first = first_host(router);
  router.answer(router.sends[0], Outcome::ok);
  host_filter.forbid(first);
  request_for_tenant(router, "second", "restricted");
  if (router.loads.size() > 1)
    router.finish_load(router.loads.back().host, 1, 1);
  ASSERT_EQ(router.sends.size(), 2U);
  EXPECT_NE(router.sends[1].host, first);
  EXPECT_NE(router.sends[1].host, "c");
  host_filter.forbid_all();
  request_for_tenant(router, "third", "restricted");
  EXPECT_EQ(router.rejected, std::vector<std::string>{"third"});
  request_for_tenant(router, "unrestricted", "other");
  EXPECT_EQ(router.rejected.size(), 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
