// Unit tests of the parts of the connection pool that do no I/O, and of the codec of the host protocol.
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "hosts/connect_backoff.h"
#include "hosts/ended_refs.h"
#include "hosts/host_protocol.h"
#include "hosts/liveness_probe_budget.h"
#include "hosts/response_time_estimate.h"
#include "hosts/silence_monitor.h"
#include "hosts/waiting_sends.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;
using Action = SilenceMonitor::Action;

constexpr Millis kMaxSilence{400};

TEST_CASE("a silent connection is probed, and closed if the probe is not answered") {
  SilenceMonitor monitor;
  monitor.record_received(Millis(1000));
  monitor.record_sent(Millis(1100));
  CHECK(monitor.check(Millis(1500), kMaxSilence, true) == Action::none);
  CHECK(monitor.check(Millis(1501), kMaxSilence, false) == Action::none);
  CHECK(monitor.check(Millis(1501), kMaxSilence, true) == Action::send_probe);
  monitor.record_probe(Millis(1501));
  CHECK(monitor.check(Millis(1751), kMaxSilence, true) == Action::none);
  CHECK(monitor.check(Millis(1752), kMaxSilence, true) == Action::close_unresponsive);
}

TEST_CASE("the allowed silence doubles with each probe since the last answer") {
  SilenceMonitor monitor;
  monitor.record_received(Millis(1000));
  monitor.record_probe(Millis(1500));
  monitor.record_received(Millis(1600));
  CHECK(monitor.check(Millis(2400), kMaxSilence, true) == Action::none);
  CHECK(monitor.check(Millis(2401), kMaxSilence, true) == Action::send_probe);
  monitor.record_attempt_answered();
  CHECK(monitor.check(Millis(2001), kMaxSilence, true) == Action::send_probe);
}

TEST_CASE("a discarded probe does not count as outstanding") {
  SilenceMonitor monitor;
  monitor.record_received(Millis(1000));
  monitor.record_probe(Millis(1500));
  monitor.discard_probe();
  CHECK(monitor.check(Millis(1800), kMaxSilence, true) == Action::none);
  CHECK(monitor.check(Millis(1801), kMaxSilence, true) == Action::send_probe);
}

TEST_CASE("an incomplete answer closes its connection after a long pause or a long total duration") {
  SilenceMonitor monitor;
  monitor.record_received(Millis(1000));
  monitor.record_parsed(true, false);
  CHECK(monitor.check(Millis(1200), kMaxSilence, true) == Action::none);
  CHECK(monitor.check(Millis(1201), kMaxSilence, true) == Action::close_incomplete);
  monitor.record_received(Millis(2950));
  monitor.record_parsed(true, false);
  CHECK(monitor.check(Millis(3000), kMaxSilence, true) == Action::none);
  CHECK(monitor.check(Millis(3001), kMaxSilence, true) == Action::close_incomplete);
  monitor.record_parsed(true, true);  // the answer was completed, and another one has begun
  CHECK(monitor.check(Millis(3001), kMaxSilence, true) == Action::none);
}

TEST_CASE("liveness probes are limited to a burst and to a share of the attempts") {
  constexpr int kBurst = 5;
  constexpr int kAttemptsPerProbe = 21;  // 20, and one for rounding
  LivenessProbeBudget budget;
  for (int i = 0; i < kBurst; ++i)
    CHECK(budget.try_take());
  CHECK_FALSE(budget.try_take());
  for (int i = 0; i < kAttemptsPerProbe; ++i)
    budget.record_attempt();
  CHECK(budget.try_take());
  CHECK_FALSE(budget.try_take());
}

TEST_CASE("the allowed silence follows the response times, within its limits") {
  ResponseTimeEstimate estimate;
  CHECK(estimate.max_silence(kMaxSilence) == Millis(200));
  CHECK(estimate.max_silence(Millis(50)) == Millis(200));
  for (int i = 0; i < 1000; ++i)
    estimate.record(Millis(150));
  CHECK(estimate.max_silence(kMaxSilence).count() == Approx(300));
  for (int i = 0; i < 1000; ++i)
    estimate.record(Millis(1000));
  CHECK(estimate.max_silence(kMaxSilence) == kMaxSilence);
}

TEST_CASE("the pause between connects doubles with each local failure, up to 50 ms") {
  ConnectBackoff backoff;
  CHECK(backoff.has_no_failure());
  Millis now{1000};
  for (const double pause : {2, 4, 8, 16, 32, 50, 50}) {
    backoff.record_local_failure(now);
    CHECK(backoff.next_attempt_at() == now + Millis(pause));
    CHECK_FALSE(backoff.may_connect(now));
    now = backoff.next_attempt_at();
    CHECK(backoff.may_connect(now));
    CHECK(backoff.is_impaired(now));
  }
  CHECK_FALSE(backoff.is_impaired(now + Millis(20)));
  backoff.record_success();
  CHECK(backoff.has_no_failure());
}

TEST_CASE("an ended ref accepts one late answer if it was cancelled, and expires after its retention") {
  constexpr Millis kRetention{100};
  EndedRefs refs(std::make_shared<EndedRefMemory>());
  refs.add("a1", EndedRefs::State::cancelled, Millis(0), kRetention);
  refs.add("a2", EndedRefs::State::answered, Millis(100), kRetention);
  CHECK(refs.accept_late_answer("a1"));
  CHECK_FALSE(refs.accept_late_answer("a1"));
  CHECK_FALSE(refs.accept_late_answer("a2"));
  CHECK_FALSE(refs.accept_late_answer("a3"));
  refs.add("a3", EndedRefs::State::answered, Millis(101), kRetention);
  CHECK_FALSE(refs.contains("a1"));
  CHECK(refs.contains("a2"));
}

// Guards against: a bound for each connection alone, which hundreds of connections multiply.
TEST_CASE("the ended refs of all connections together stay within their share of the memory") {
  constexpr Millis kRetention{10000};
  constexpr std::size_t kMaxRefs = 1000;
  const auto memory = std::make_shared<EndedRefMemory>();
  memory->max_bytes = kMaxRefs * 160;
  {
    EndedRefs first(memory);
    for (int i = 0; i < 2000; ++i)
      first.add("a" + std::to_string(i), EndedRefs::State::answered, Millis(i), kRetention);
    CHECK(memory->refs == kMaxRefs);
    EndedRefs second(memory);
    for (int i = 0; i < 2000; ++i)
      second.add("b" + std::to_string(i), EndedRefs::State::answered, Millis(2000 + i), kRetention);
    CHECK(memory->refs <= kMaxRefs + 33);
    CHECK(second.contains("b1999"));
    CHECK(second.contains("b1970"));
  }
  CHECK(memory->refs == 0);
}

WaitingSend waiting_attempt(const std::string& host, core::CallId call) {
  WaitingSend send;
  send.host = host;
  send.attempt.call = call;
  return send;
}

TEST_CASE("waiting sends keep their order, and are removed by attempt or by host") {
  WaitingSends sends;
  sends.add(waiting_attempt("h1", 1));
  sends.add(waiting_attempt("h2", 2));
  sends.add(waiting_attempt("h1", 3));
  CHECK(sends.remove({1, 0}));
  CHECK_FALSE(sends.remove({1, 0}));
  const auto of_host = sends.take_for_host("h1");
  REQUIRE(of_host.size() == 1);
  CHECK(of_host[0].attempt.call == 3);
  CHECK(sends.take_all().size() == 1);
  CHECK(sends.empty());
}

TEST_CASE("a reply of a host is decoded into its status and its fields") {
  const auto reply =
      decode_reply({"a1", "data", "l=util:0.5;inflight:2,crowd=40,count=3", "body"}, {"inflight", "util"});
  REQUIRE(reply);
  CHECK(reply->id == "a1");
  CHECK(outcome_of(reply->status) == Outcome::ok);
  CHECK(wire_word(reply->status) == "data");
  CHECK(reply->host_concurrency == 30);
  CHECK(reply->copies == 3);
  CHECK(reply->report == std::vector<double>{2, 0.5});
  CHECK(reply->body == "body");
}

TEST_CASE("each word of a host has its outcome") {
  const std::map<std::string, Outcome> outcomes = {
      {"data", Outcome::ok},      {"absent", Outcome::no_instance}, {"full", Outcome::at_capacity},
      {"failed", Outcome::error}, {"moot", Outcome::never_ran},     {"well", Outcome::ok},
      {"ill", Outcome::error}};
  for (const auto& [word, outcome] : outcomes) {
    const auto reply = decode_reply({"a1", word, "", ""}, {});
    REQUIRE(reply);
    CHECK(outcome_of(reply->status) == outcome);
    CHECK(is_health_status(reply->status) == (word == "well" || word == "ill"));
  }
}

TEST_CASE("malformed replies of a host are not decoded; a report with a gap is no report") {
  CHECK_FALSE(decode_reply({"a1", "done", "", ""}, {}));
  CHECK_FALSE(decode_reply({"A1", "data", "", ""}, {}));
  CHECK_FALSE(decode_reply({"a1", "data", "count", ""}, {}));
  for (const char* word : {"data", "absent", "full", "failed", "moot", "well", "ill"})
    CHECK_FALSE(decode_reply({"a1", word, "", std::nullopt}, {}));  // no length
  const auto reply = decode_reply({"a1", "data", "l=util:0.5,crowd=x,count=1001", ""}, {"inflight", "util"});
  REQUIRE(reply);
  CHECK_FALSE(reply->report);
  CHECK(reply->host_concurrency == 0);
  CHECK(reply->copies == 0);
}

TEST_CASE("the timeout of an attempt is sent in whole milliseconds, at least one") {
  AttemptRequest request;
  request.ref = "a1";
  request.class_name = "bin-check";
  request.function_name = "f1";
  CHECK(encode(request, Millis(12.9)) == "exec a1 sort=bin-check,asset=f1,patience=12 0\r\n\r\n");
  CHECK(encode(request, Millis(0.2)) == "exec a1 sort=bin-check,asset=f1,patience=1 0\r\n\r\n");
}

}  // namespace
}  // namespace lotusyard::hosts
