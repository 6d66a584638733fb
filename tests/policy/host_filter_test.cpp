// The host filter: which hosts a call or a load may go to. It is queried wherever a host is considered.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>

#include "policy/policy_fixture.h"

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

void request_for_tenant(PolicyFixture& invoker, const std::string& id, const std::string& tenant,
                        std::uint64_t function = 1) {
  event::Request request;
  request.id = id;
  request.class_name = "safe";
  request.tenant = tenant;
  request.function = function;
  request.memory_mb = 100;
  request.load_hint = Millis(1000);
  request.expires_in = Millis(4000);
  invoker.handle(request);
}

// Of five hosts only one is allowed, with and without load orders.
TEST(HostFilter, NoCallAndNoLoadGoesToAForbiddenHost) {
  for (const bool load_orders : {false, true}) {
    Settings settings = make_settings();
    settings.load_orders.allowed = load_orders;
    AllowedHosts host_filter({"c"});
    PolicyFixture invoker(settings);
    invoker.policy.set_host_filter(&host_filter);
    invoker.update_endpoints(
        {host_entry("a"), host_entry("b"), host_entry("c"), host_entry("d"), host_entry("e")});
    for (int i = 0; i < 200; ++i) {
      request_for_tenant(invoker, std::to_string(i), "restricted", 1 + i % 7);
      for (const auto& load : std::exchange(invoker.loads, {})) {
        EXPECT_EQ(load.host, "c");
        invoker.finish_load(load.host, load.function, 1);
      }
      if (!invoker.sends.empty()) {
        EXPECT_EQ(invoker.sends.back().host, "c");
        invoker.answer(invoker.sends.back(), i % 5 == 0 ? Outcome::error : Outcome::ok);
      }
    }
    EXPECT_GT(invoker.sends.size(), 50U);
    EXPECT_FALSE(invoker.has_violation);
  }
}

// An instance on a host that has become forbidden gets no further calls.
TEST(HostFilter, HostIsLeftOnceForbiddenAndACallWithoutAnAllowedHostIsRejectedAtOnce) {
  AllowedHosts host_filter({"a", "b"});
  PolicyFixture invoker;
  invoker.policy.set_host_filter(&host_filter);
  invoker.update_endpoints({host_entry("a"), host_entry("b"), host_entry("c")});
  request_for_tenant(invoker, "first", "restricted");
  if (!invoker.loads.empty())
    invoker.finish_load(invoker.loads[0].host, 1, 1);
  ASSERT_EQ(invoker.sends.size(), 1U);
  const std::string first = first_host(invoker);
  invoker.answer(invoker.sends[0], Outcome::ok);
  host_filter.forbid(first);
  request_for_tenant(invoker, "second", "restricted");
  if (invoker.loads.size() > 1)
    invoker.finish_load(invoker.loads.back().host, 1, 1);
  ASSERT_EQ(invoker.sends.size(), 2U);
  EXPECT_NE(invoker.sends[1].host, first);
  EXPECT_NE(invoker.sends[1].host, "c");
  host_filter.forbid_all();
  request_for_tenant(invoker, "third", "restricted");
  EXPECT_EQ(invoker.rejected, std::vector<std::string>{"third"});
  request_for_tenant(invoker, "unrestricted", "other");
  EXPECT_EQ(invoker.rejected.size(), 1U);
}

}  // namespace
}  // namespace lotusyard::policy::test
