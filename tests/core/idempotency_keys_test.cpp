// Idempotency keys and second copies, in the core: what may go out again, where and until when.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using core::Attempt;
using core::HostLocation;
using core::IdempotencyKeys;
using lotusyard::policy::KeyScope;

core::Call keyed(const std::string& key, const std::string& body = "b", Millis allow = Millis(1000)) {
  core::Call c;
  c.class_name = "booking";
  c.key = key;
  c.function = 7;
  c.body = body;
  c.timeout = allow;
  return c;
}
core::KeyRule rule(KeyScope scope = KeyScope::all) { return {scope, Millis(5000), Millis(1500)}; }

TEST_CASE("a key is bytes that can stand in a host's line") {
  for (const char* good : {"5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "a", "~!#:;/"})
    CHECK(IdempotencyKeys::is_valid(good));
  for (const std::string& bad :
       {std::string(), std::string("a b"), std::string("a,b"), std::string("a=b"), std::string("a\r\n"),
        std::string("a\0", 2), std::string("\xC3\xA9"), std::string(129, 'a')}) {
    CHECK_FALSE(IdempotencyKeys::is_valid(bad));
  }
}

TEST_CASE("a keyed call goes out again until its window has passed, from the first send that may have run") {
  IdempotencyKeys keys;
  const auto call = keyed("k");
  REQUIRE(keys.begin(call, rule(), Millis(0)) == IdempotencyKeys::KeyDecision::accepted);
  CHECK(keys.may_send_to(call, rule(), {}, Millis(9000)));  // nothing has gone out
  keys.record_send(call, {1, 0}, {}, Millis(1000));
  keys.record_not_run(call, {1, 0});
  CHECK(keys.may_send_to(call, rule(), {}, Millis(9000)));
  keys.record_send(call, {1, 1}, {}, Millis(2000));
  keys.record_send(call, {1, 2}, {}, Millis(4000));
  CHECK(keys.may_send_to(call, rule(), {}, Millis(6999)));
  CHECK_FALSE(keys.may_send_to(call, rule(), {}, Millis(7000)));
  keys.end(call, rule(), Millis(6000));
  CHECK(keys.begin(call, rule(), Millis(6999)) ==
        IdempotencyKeys::KeyDecision::accepted);  // a further try of the client
  CHECK_FALSE(keys.may_send_to(call, rule(), {}, Millis(7001)));
  keys.end(call, rule(), Millis(7001));
  CHECK(keys.begin(call, rule(), Millis(8000)) == IdempotencyKeys::KeyDecision::window_over);
  CHECK(keys.begin(keyed("other"), rule(), Millis(14001)) == IdempotencyKeys::KeyDecision::accepted);
  CHECK(keys.size() == 1);  // forgotten once it could be no client's try any more
}

TEST_CASE("within a zone or a cell only its hosts drop a repeat") {
  for (const auto scope : {KeyScope::zone, KeyScope::cell}) {
    IdempotencyKeys keys;
    const auto call = keyed("k");
    REQUIRE(keys.begin(call, rule(scope), Millis(0)) == IdempotencyKeys::KeyDecision::accepted);
    CHECK(keys.may_send_to(call, rule(scope), {"z2", 4}, Millis(1)));
    keys.record_send(call, {1, 0}, {"z1", 3}, Millis(1));
    CHECK(keys.may_send_to(call, rule(scope), {"z1", 3}, Millis(2)));
    CHECK(keys.may_send_to(call, rule(scope), {"z1", 4}, Millis(2)) == (scope == KeyScope::zone));
    CHECK(keys.may_send_to(call, rule(scope), {"z2", 3}, Millis(2)) == (scope == KeyScope::cell));
    // One that may have run before a restart: nobody knows where.
    auto again = keyed("restarted");
    again.retry = true;
    REQUIRE(keys.begin(again, rule(scope), Millis(0)) == IdempotencyKeys::KeyDecision::accepted);
    CHECK_FALSE(keys.may_send_to(again, rule(scope), {"z1", 3}, Millis(2)));
  }
}

TEST_CASE("the same key for another body or function is another request, and a host would drop it") {
  IdempotencyKeys keys;
  REQUIRE(keys.begin(keyed("k"), rule(), Millis(0)) == IdempotencyKeys::KeyDecision::accepted);
  CHECK(keys.begin(keyed("k"), rule(), Millis(1)) ==
        IdempotencyKeys::KeyDecision::accepted);  // both go, under the one key
  CHECK(keys.begin(keyed("k", "other"), rule(), Millis(1)) == IdempotencyKeys::KeyDecision::other_request);
  auto call = keyed("k");
  call.function = 8;
  CHECK(keys.begin(call, rule(), Millis(1)) == IdempotencyKeys::KeyDecision::other_request);
  call.class_name = "charge";  // a key is its class's
  CHECK(keys.begin(call, rule(), Millis(1)) == IdempotencyKeys::KeyDecision::accepted);
  CHECK(keys.size() == 2);
}

TEST_CASE("a client's retry that is not known here counts from when its first try can have come") {
  IdempotencyKeys keys;
  auto call = keyed("k", "b", Millis(500));
  call.retry = true;  // waits 500 ms of 1500 in all: the first try came up to a second ago
  REQUIRE(keys.begin(call, rule(), Millis(10000)) == IdempotencyKeys::KeyDecision::accepted);
  CHECK(keys.may_send_to(call, rule(), {}, Millis(13999)));
  CHECK_FALSE(keys.may_send_to(call, rule(), {}, Millis(14000)));
  auto late = keyed("late");
  late.may_have_run_since = Millis(5000);
  CHECK(keys.begin(late, rule(), Millis(10000)) == IdempotencyKeys::KeyDecision::window_over);
}

TEST_CASE("the memory of keys is bounded, and what it holds is kept") {
  IdempotencyKeys keys;
  for (std::size_t i = 0; i < IdempotencyKeys::max_keys; ++i) {
    REQUIRE(keys.begin(keyed(std::to_string(i)), rule(), Millis(0)) ==
            IdempotencyKeys::KeyDecision::accepted);
    keys.record_send(keyed(std::to_string(i)), {i, 0}, {}, Millis(0));
    keys.end(keyed(std::to_string(i)), rule(), Millis(0));
  }
  CHECK(keys.begin(keyed("one more"), rule(), Millis(1)) == IdempotencyKeys::KeyDecision::full);
  CHECK(keys.begin(keyed("5"), rule(), Millis(1)) == IdempotencyKeys::KeyDecision::accepted);
  keys.end(keyed("5"), rule(), Millis(1));
  CHECK(keys.begin(keyed("one more"), rule(), Millis(10000)) == IdempotencyKeys::KeyDecision::accepted);
  CHECK(keys.size() == 1);
  const auto same = keyed("same");
  for (std::uint64_t i = 0; i < 100; ++i) {
    if (keys.begin(same, rule(), Millis(10000)) != IdempotencyKeys::KeyDecision::accepted)
      break;
    if (keys.may_send_to(same, rule(), {}, Millis(10000)))
      keys.record_send(same, {i, 0}, {}, Millis(10000));
  }
  CHECK_FALSE(keys.may_send_to(same, rule(), {}, Millis(10000)));
}

// Hosts that note every run by key and place; a front that counts answers.
struct Ledger final : core::HostTransport, core::FrontEnd {
  struct Out {
    std::string host, key;
    Millis at{0};
    bool out = true;
  };
  const Millis& now;
  explicit Ledger(const Millis& clock) : now(clock) {}
  std::map<Attempt, Out> attempts;
  std::map<core::CallId, std::vector<core::Answer>> answers;
  std::vector<std::pair<std::string, std::uint64_t>> orders;
  int most_out = 0;
  void send_attempt(const Attempt& a, const std::string& host, const core::Call& call, Millis) override {
    CHECK(answers.count(a.call) == 0);
    int out = 1;
    for (const auto& [other, o] : attempts) {
      if (other.call != a.call || !o.out)
        continue;
      ++out;
      CHECK(o.host != host);
    }
    most_out = std::max(most_out, out);
    attempts[a] = {host, call.key, now};
  }
  bool cancel_attempt(const Attempt& a) override { return std::exchange(attempts.at(a).out, false); }
  void probe(const std::string&) override {}
  void load_copies(const std::string& host, std::uint64_t function, int copies) override {
    if (copies > 0)
      orders.emplace_back(host, function);
  }
  void unload(const std::string&, std::uint64_t) override {}
  void answer(core::CallId call, core::Answer&& a) override { answers[call].push_back(std::move(a)); }
};

TEST_CASE("whatever comes, keyed runs keep to their scope and window, and attempts to what is allowed") {
  int hedged_requests = 0;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    core::Settings s = keyed_settings(Millis(600));
    s.classes[2].scope = static_cast<KeyScope>(seed % 3);
    s.host_protocol.answers_misses = seed % 2 == 0;
    s.retries.hedged_requests = seed % 4 != 0;
    Millis now{1000};
    Ledger desk(now);
    metrics::Counters counters;
    auto dispatcher = std::make_unique<core::Dispatcher>(
        s, [&now] { return now; }, desk, counters);
    const auto place = [](int host) { return HostLocation{"z" + std::to_string(host % 2), host % 3}; };
    const auto tell_list = [&](bool whole) {
      core::HostList list;
      list.kind = whole ? core::ListKind::full : core::ListKind::delta;
      for (int i = 0; i < 6; ++i) {
        if (!whole && below(random, 3) != 0)
          continue;
        list.entries.emplace_back();
        list.entries.back().host = "h" + std::to_string(i);
        list.entries.back().zone = place(i).zone;
        list.entries.back().cell = place(i).cell;
        if (!whole)
          list.entries.back().state = static_cast<core::HostState>(below(random, 3));
      }
      dispatcher->update_endpoints(std::move(list));
    };
    tell_list(true);
    std::map<core::CallId, std::string> call_class;
    std::set<core::CallId> left;
    std::set<Attempt> never_ran;
    std::size_t orders_told = 0;
    core::CallId last = 0;
    for (int step = 0; step < 300; ++step) {
      if (below(random, 3) == 0) {
        core::Call c;
        c.ref = "r" + std::to_string(step);
        c.class_name = s.classes[below(random, 3)].name;
        const std::size_t key = below(random, 40);
        if (c.class_name == "booking")
          c.key = "k" + std::to_string(key);
        c.function = 1 + below(random, 3);
        if (!c.key.empty())
          c.function = 1 + key % 3;
        c.lanes = 4;
        c.arrived = now;
        c.timeout = Millis(300.0 + static_cast<double>(below(random, 900)));
        c.retry = below(random, 4) == 0;
        last = dispatcher->allocate_call_id();
        call_class[last] = c.class_name;
        if (dispatcher->admit(last, std::move(c), desk).has_value())
          call_class.erase(last);
      }
      while (orders_told < desk.orders.size()) {
        const auto order = desk.orders[orders_told++];
        dispatcher->load_ended({order.first, order.second, core::Outcome::ok, Millis(200), 1});
      }
      for (const auto& [attempt, o] : std::map<Attempt, Ledger::Out>(desk.attempts)) {
        if (!desk.attempts.at(attempt).out || below(random, 12) != 0)
          continue;
        const auto outcome = static_cast<core::Outcome>(below(random, 9));
        if (outcome == core::Outcome::timeout || outcome == core::Outcome::cancelled)
          continue;
        desk.attempts.at(attempt).out = false;
        if (lotusyard::policy::proves_never_ran(outcome))
          never_ran.insert(attempt);
        dispatcher->attempt_ended(attempt, {outcome, 0, std::nullopt, {}});
      }
      if (below(random, 12) == 0 && call_class.count(last) != 0 && desk.answers.count(last) == 0) {
        left.insert(last);
        dispatcher->client_disconnected(last);
      }
      if (below(random, 40) == 0)
        tell_list(below(random, 2) == 0);
      now += Millis(static_cast<double>(below(random, 40)));
      dispatcher->tick();
    }
    for (int i = 0; i < 200; ++i) {
      now += Millis(20);
      dispatcher->tick();
    }
    CHECK(dispatcher->open_calls() == 0);
    for (const auto& [id, name] : call_class)
      CHECK(desk.answers[id].size() == (left.count(id) != 0 ? 0U : 1U));
    CHECK(desk.most_out <= (s.retries.hedged_requests ? 2 : 1));
    std::map<core::CallId, int> runs;
    std::map<std::string, std::vector<const Ledger::Out*>> by_key;
    for (const auto& [attempt, o] : desk.attempts) {
      CHECK_FALSE(o.out);
      CHECK(attempt.number < s.retries.max_attempts);
      if (never_ran.count(attempt) != 0)
        continue;
      ++runs[attempt.call];
      if (!o.key.empty())
        by_key[o.key].push_back(&o);
    }
    for (const auto& [id, n] : runs) {
      if (call_class[id] == "bin-record")
        CHECK(n <= 1);
      const auto& answers = desk.answers[id];
      if (!answers.empty())
        CHECK(answers[0].status != core::CallStatus::rejected);
    }
    for (auto& [key, outs] : by_key) {
      std::sort(outs.begin(), outs.end(), [](auto* a, auto* b) { return a->at < b->at; });
      const Ledger::Out *start = outs[0], *before = outs[0];
      for (const auto* o : outs) {
        if (o->at - before->at >= s.classes[2].key_window * 2)
          start = o;  // a new request by now
        before = o;
        CHECK(o->at - start->at < s.classes[2].key_window);
        const HostLocation a = place(start->host[1] - '0'), b = place(o->host[1] - '0');
        if (s.classes[2].scope == KeyScope::zone)
          CHECK(a.zone == b.zone);
        if (s.classes[2].scope == KeyScope::cell)
          CHECK(a.cell == b.cell);
      }
    }
    hedged_requests += desk.most_out == 2;
    CHECK(counters.value("calls.overdue") == 0);
  }
  CHECK(hedged_requests > 0);
}

}  // namespace
}  // namespace lotusyard::test
