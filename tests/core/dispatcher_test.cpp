// A request's life, under a clock and hosts that the test plays itself.
#include "core/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

// Hosts that only note; a front that only counts. Both check the rules on whatever they are told.
struct Desk final : core::HostTransport, core::FrontEnd {
  struct Out {
    std::string body, host;
    bool out = true;
  };
  std::map<core::Attempt, Out> attempts;
  std::map<core::CallId, std::vector<core::Answer>> answers;
  std::vector<std::pair<std::string, std::uint64_t>> orders;
  void send_attempt(const core::Attempt& a, const std::string& host, const core::Call& call,
                    Millis attempt_timeout) override {
    CHECK(attempt_timeout.count() > 0);
    CHECK(answers.count(a.call) == 0);
    for (const auto& [other, o] : attempts)
      CHECK_FALSE((other.call == a.call && o.out));
    CHECK(a.number < 4);
    attempts[a] = {call.body, host};
  }
  bool cancel_attempt(const core::Attempt& a) override {
    const auto found = attempts.find(a);
    return found != attempts.end() && std::exchange(found->second.out, false);
  }
  void probe(const std::string&) override {}
  void load_copies(const std::string& host, std::uint64_t function, int) override {
    orders.emplace_back(host, function);
  }
  void unload(const std::string&, std::uint64_t) override {}
  void answer(core::CallId call, core::Answer&& answer) override {
    answers[call].push_back(std::move(answer));
  }
};

struct Bench {
  Millis now{1000};
  Desk desk;
  metrics::Counters counters;
  core::Dispatcher dispatcher;
  int refs = 0;
  explicit Bench(int hosts, const core::Settings& s = settings())
      : dispatcher(
            s, [this] { return now; }, desk, counters) {
    core::HostList list;
    for (int i = 0; i < hosts; ++i) {
      list.entries.emplace_back();
      list.entries.back().host = "h" + std::to_string(i);
    }
    dispatcher.update_endpoints(std::move(list));
  }
  core::CallId call(const std::string& call_class, const std::string& ref, Millis allow = Millis(1000)) {
    core::Call c;
    c.ref = ref;
    c.class_name = call_class;
    c.function = 7;
    c.function_name = "0000000000000007";
    c.memory_mb = 300;
    c.lanes = 4;
    c.arrived = now;
    c.timeout = allow;
    c.body = ref;
    const core::CallId id = dispatcher.allocate_call_id();
    CHECK_FALSE(dispatcher.admit(id, std::move(c), desk).has_value());
    return id;
  }
  void pass(Millis span) {
    const Millis until = now + span;
    while (dispatcher.next_deadline() <= until) {
      now = std::max(now, dispatcher.next_deadline());
      dispatcher.tick();
    }
    now = until;
  }
};

TEST_CASE(
    "whatever hosts do, a call has one answer in time, one attempt out and no second run of a bin-record") {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    Random random(seed);
    Bench b(3);
    std::map<core::CallId, Millis> deadline;
    std::map<core::CallId, bool> once, left;
    std::map<core::CallId, int> may_have_run;
    std::size_t loads_told = 0;
    for (int step = 0; step < 400; ++step) {
      if (below(random, 4) == 0) {
        const bool record = below(random, 2) == 0;
        const Millis allow(50.0 + static_cast<double>(below(random, 900)));
        const auto id = b.call(record ? "bin-record" : "bin-check", "r" + std::to_string(step), allow);
        deadline[id] = b.now + allow;
        once[id] = record;
      }
      for (const auto& order : std::vector<std::pair<std::string, std::uint64_t>>(
               b.desk.orders.begin() + static_cast<std::ptrdiff_t>(loads_told), b.desk.orders.end())) {
        ++loads_told;
        const bool good = below(random, 4) != 0;
        b.dispatcher.load_ended({order.first, order.second,
                                 good ? core::Outcome::ok : core::Outcome::at_capacity, Millis(200),
                                 good ? 1 : 0});
      }
      const auto now_out = b.desk.attempts;
      for (const auto& [attempt, o] : now_out) {
        if (!b.desk.attempts[attempt].out || below(random, 3) != 0)
          continue;
        const auto outcome = static_cast<core::Outcome>(below(random, 9));
        if (outcome == core::Outcome::timeout || outcome == core::Outcome::cancelled)
          continue;
        b.desk.attempts[attempt].out = false;
        if (!lotusyard::policy::proves_never_ran(outcome))
          ++may_have_run[attempt.call];
        b.dispatcher.attempt_ended(attempt, {outcome, 0, std::nullopt, o.body});
      }
      if (below(random, 10) == 0 && !deadline.empty()) {
        const auto id =
            std::next(deadline.begin(), static_cast<std::ptrdiff_t>(below(random, deadline.size())))->first;
        if (b.desk.answers.count(id) == 0) {
          left[id] = true;
          b.dispatcher.client_disconnected(id);
        }
      }
      b.pass(Millis(static_cast<double>(below(random, 40))));
      for (const auto& [id, at] : deadline) {
        if (b.now > at + Millis(16) && !left[id])
          CHECK(b.desk.answers[id].size() == 1);
      }
    }
    b.pass(Millis(3000));
    CHECK(b.dispatcher.open_calls() == 0);
    for (const auto& [id, at] : deadline) {
      const auto& answers = b.desk.answers[id];
      CHECK(answers.size() == (left[id] ? 0U : 1U));
      if (once[id])
        CHECK(may_have_run[id] <= 1);
      if (!answers.empty() && answers[0].status == core::CallStatus::rejected)
        CHECK(may_have_run[id] == 0);
    }
    for (const auto& [attempt, o] : b.desk.attempts)
      CHECK_FALSE(o.out);
  }
}

TEST_CASE("what no host can use, or comes under a ref not its own, is not taken, by whichever front") {
  core::Settings s = settings();
  s.tenants.push_back({"redgum-estate", 1, 100});
  s.kind_memory_mb["std-2c"] = 3456;
  Bench b(1, s);
  const auto takes = [&](const auto& change) {
    core::Call c;
    c.ref = "r" + std::to_string(b.desk.answers.size() + b.refs++);
    c.class_name = "bin-check";
    c.tenant = "redgum-estate";
    c.memory_mb = 300;
    c.timeout = Millis(1000);
    change(c);
    return !b.dispatcher.admit(b.dispatcher.allocate_call_id(), std::move(c), b.desk).has_value();
  };
  CHECK(takes([](core::Call&) {}));
  CHECK(takes([](core::Call& c) { c.ref = "same"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.ref = "same"; }));
  b.pass(Millis(1100));  // that call has ended, but a host may still answer it
  CHECK_FALSE(takes([](core::Call& c) { c.ref = "same"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.class_name = "bin-chuck"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.tenant = "nobody"; }));
  CHECK_FALSE(takes([](core::Call& c) { c.memory_mb = -1; }));
  CHECK_FALSE(takes([](core::Call& c) { c.memory_mb = 4000; }));
  CHECK_FALSE(takes([](core::Call& c) { c.memory_mb = std::nan(""); }));
  CHECK_FALSE(takes([](core::Call& c) { c.lanes = 0; }));
  CHECK_FALSE(takes([](core::Call& c) { c.lanes = 5000; }));
  CHECK_FALSE(takes([](core::Call& c) { c.timeout = Millis(0); }));
  CHECK_FALSE(takes([](core::Call& c) { c.timeout = Millis(1502); }));
  CHECK(takes([](core::Call& c) { c.tenant.clear(); }));
  CHECK(b.counters.value("calls.taken") == 3);
  CHECK(b.counters.value("calls.ref_repeated") == 2);
  CHECK(b.counters.value("calls.bad_figures") == 7);
}

// Failure found in review: a ref was forgotten only when another call ended, so a repeat after the window was
// taken or failed by what else went on.
TEST_CASE(
    "a ref is its call's own within and at its window, and free after it, whatever else ends meanwhile") {
  Bench b(1);
  const std::string ref = "000000000000000a";
  const auto call = b.call("bin-check", ref);
  const std::map<core::Attempt, Desk::Out> sent = b.desk.attempts;
  for (const auto& [attempt, out] : sent)
    b.dispatcher.attempt_ended(attempt, {core::Outcome::ok, 0, std::nullopt, {}});
  REQUIRE(b.desk.answers[call].size() == 1);
  const Millis ended = b.now;
  const auto repeated = [&](Millis after) {
    b.now = ended + after;
    core::Call c;
    c.ref = ref;
    c.class_name = "bin-check";
    c.arrived = b.now;
    c.timeout = Millis(1000);
    return !b.dispatcher.admit(b.dispatcher.allocate_call_id(), std::move(c), b.desk).has_value();
  };
  CHECK_FALSE(repeated(Millis(1)));
  CHECK_FALSE(repeated(Millis(10000)));
  CHECK(repeated(Millis(10001)));
  CHECK(b.counters.value("calls.ref_repeated") == 2);
}

TEST_CASE("a call for which there is no host is answered by its deadline") {
  Bench b(0);
  const auto id = b.call("bin-record", "r");
  b.pass(Millis(1016));
  REQUIRE(b.desk.answers[id].size() == 1);
  CHECK(b.desk.answers[id][0].status == core::CallStatus::rejected);
}

TEST_CASE("an open call keeps the rules under which it was taken; the next one is under the new ones") {
  Bench b(4);
  const auto old_check = b.call("bin-check", "0000000000000001");
  core::Settings next = settings();
  next.retries.max_attempts = 1;
  next.classes[0].semantics = lotusyard::policy::Semantics::non_idempotent;
  next.classes[1].name = "bin-weigh";
  next.classes[1].semantics = lotusyard::policy::Semantics::idempotent;
  b.dispatcher.apply_settings(next);
  const auto sent = [&](core::CallId id) {
    return std::count_if(b.desk.attempts.begin(), b.desk.attempts.end(),
                         [id](const auto& a) { return a.first.call == id; });
  };
  const auto end_all = [&](core::CallId id, core::Outcome outcome) {
    for (int number = 0, all = static_cast<int>(sent(id)); number < all; ++number) {
      const core::Attempt attempt{id, number};
      if (std::exchange(b.desk.attempts[attempt].out, false))
        b.dispatcher.attempt_ended(attempt, {outcome, 0, std::nullopt, {}});
    }
  };
  end_all(old_check, core::Outcome::error);  // may have run, and may run again, up to four times
  CHECK(sent(old_check) == 2);
  end_all(old_check, core::Outcome::ok);
  const auto new_check = b.call("bin-check", "0000000000000002");
  end_all(new_check, core::Outcome::error);
  CHECK(sent(new_check) == 1);
  CHECK(b.desk.answers[new_check].at(0).status == core::CallStatus::failed);
  const auto weigh = b.call("bin-weigh", "0000000000000003");
  end_all(weigh, core::Outcome::no_instance);
  CHECK(sent(weigh) == 1);
  core::Call dropped;
  dropped.ref = "0000000000000004";
  dropped.class_name = "bin-record";
  dropped.arrived = b.now;
  dropped.timeout = Millis(1000);
  CHECK(b.dispatcher.admit(b.dispatcher.allocate_call_id(), std::move(dropped), b.desk) ==
        core::RejectionReason::unknown_class);
  CHECK(b.counters.value("calls.unknown_class") == 1);
  CHECK(b.counters.value("guard.send_stopped") == 0);
}

TEST_CASE("given up before a replacement: what is held is refused at once, what is out goes on") {
  core::Settings one = settings();
  one.classes.resize(1);
  Bench b(1, one);
  std::vector<core::CallId> ids;  // more than one host takes at once: the rest is held
  for (int i = 0; i < 40; ++i)
    ids.push_back(b.call("bin-check", "00000000000000" + std::to_string(10 + i)));
  std::set<core::CallId> out;
  for (const auto& [attempt, o] : b.desk.attempts)
    out.insert(attempt.call);
  REQUIRE((!out.empty() && out.size() < ids.size() - 1));
  const auto spared = *std::find_if(ids.begin(), ids.end(), [&](auto id) { return out.count(id) == 0; });
  b.dispatcher.abort_calls(core::Dispatcher::CallSelection::never_sent,
                           [&](core::CallId id) { return id != spared; });
  for (const auto id : ids) {
    const bool goes_on = out.count(id) != 0 || id == spared;
    REQUIRE(b.desk.answers.count(id) == (goes_on ? 0 : 1));
    if (!goes_on)
      CHECK(b.desk.answers[id].at(0).status == core::CallStatus::rejected);
  }
  for (const auto& [attempt, o] : std::map<core::Attempt, Desk::Out>(b.desk.attempts))
    b.dispatcher.attempt_ended(attempt, {core::Outcome::ok, 0, std::nullopt, {}});
  for (const auto id : out)
    CHECK(b.desk.answers[id].size() == 1);
}

}  // namespace
}  // namespace lotusyard::test
