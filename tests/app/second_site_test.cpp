// An invoker at the second site, whose hosts differ in all that settings can say (SecondSiteHost).
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/second_site_host.h"
#include "core/dispatcher.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kHostCount = 5;
constexpr std::size_t kCallCount = 500;
constexpr Millis kCallInterval{3};
constexpr Millis kClientDeadline{500};

core::Settings second_site_settings() {
  // The window counts from a send; a host counts from the call's arrival.
  core::Settings invoker_settings = keyed_settings(kKeyWindow - Millis(100));
  for (auto& call_class : invoker_settings.classes) {
    call_class.latency_objective = Millis(150);
    call_class.deadline = kClientDeadline;
  }
  invoker_settings.host_protocol.answers_misses = false;
  invoker_settings.host_protocol.accepts_probes = false;
  invoker_settings.load_reports.mode = policy::ReportMode::answers;
  invoker_settings.load_reports.fields = {policy::ReportField::inflight, policy::ReportField::pinned,
                                          policy::ReportField::loading};
  return invoker_settings;
}

hosts::Limits second_site_limits() {
  hosts::Limits limits;
  limits.report_fields = {"inflight", "x0", "x1"};
  limits.liveness = hosts::LivenessProbe::order;
  limits.max_silence = Millis(120);
  return limits;
}

class AnswerRecorder final : public core::FrontEnd {
 public:
  void answer(core::CallId call, core::Answer&& answer) override {
    answers[call].push_back(std::move(answer));
  }

  std::map<core::CallId, std::vector<core::Answer>> answers;
};

// A call as its client sees it, with all its tries.
struct ClientCall {
  std::string call_class;
  std::string key;
  std::string body;
  std::uint64_t function = 0;
  Millis first_sent_at{0};
  core::CallId id = 0;  // of the latest try
  int tries = 0;
  bool ended = false;
};

// Clients that retry as their calls' classes allow, an invoker, and its hosts.
class SecondSite {
 public:
  explicit SecondSite(std::uint64_t seed) : random_(seed) {
    core::HostListUpdate list{true, {}};
    core::HostList entries{core::ListKind::full, {}};
    for (std::size_t i = 0; i < kHostCount; ++i) {
      hosts_.push_back(std::make_unique<SecondSiteHost>(fixture, runs, random_));
      core::ListedHost listed;
      listed.entry.host = "c" + std::to_string(i);
      listed.address = hosts_.back()->server.address();
      list.hosts.push_back(listed);
      entries.entries.push_back(listed.entry);
    }
    fixture.host_pool.update_endpoints(list);
    fixture.dispatcher.update_endpoints(std::move(entries));
  }
  // Sends all calls, one in each interval; every hundredth one host becomes slower or faster.
  void send_calls() {
    const Millis began = fixture.loop.now();
    while (calls.size() < kCallCount) {
      const Millis next = began + kCallInterval * static_cast<double>(calls.size());
      fixture.run_until([&] { return fixture.loop.now() >= next; });
      calls.push_back(make_call());
      send(calls.back());
      retry_all();
      if (calls.size() % 100 == 0)
        hosts_[below(random_, kHostCount)]->slowdown = 1.0 + static_cast<double>(below(random_, 12));
    }
  }
  // Waits until all calls have ended, and attempts that were abandoned have run.
  void finish() {
    const auto all_ended = [&] {
      retry_all();
      return fixture.dispatcher.open_calls() == 0;
    };
    REQUIRE(fixture.run_until(all_ended, 20000));
    const Millis last_run = fixture.loop.now() + kKeyWindow;
    fixture.run_until([&] { return fixture.loop.now() > last_run; });
  }

  InvokerFixture fixture{0, second_site_settings(), second_site_limits()};
  RunCounts runs;
  AnswerRecorder clients;
  std::vector<ClientCall> calls;
  std::set<core::CallId> admitted;

 private:
  ClientCall make_call() {
    ClientCall call;
    call.call_class = classes_[below(random_, classes_.size())].name;
    call.body = "b" + std::to_string(calls.size());
    if (call.call_class == "booking")
      call.key = "k" + std::to_string(calls.size());
    call.function = 1 + below(random_, 12);
    call.first_sent_at = fixture.loop.now();
    return call;
  }
  void send(ClientCall& client_call) {
    core::Call call;
    call.ref = net::hex16(++last_ref_);
    call.class_name = client_call.call_class;
    call.key = client_call.key;
    call.function = client_call.function;
    call.function_name = net::hex16(client_call.function);
    call.body = client_call.body;
    call.lanes = 4;
    call.memory_mb = 4000;
    call.retry = client_call.tries++ > 0;
    call.arrived = fixture.loop.now();
    call.timeout = std::min(Millis(250), client_call.first_sent_at + kClientDeadline - call.arrived);
    client_call.id = fixture.dispatcher.allocate_call_id();
    if (!fixture.dispatcher.admit(client_call.id, std::move(call), clients).has_value())
      admitted.insert(client_call.id);
  }
  void retry_all() {
    for (auto& call : calls)
      retry_if_allowed(call);
  }
  // As clients do: what the class allows, while there is time left.
  void retry_if_allowed(ClientCall& call) {
    const auto answers = clients.answers.find(call.id);
    if (call.ended || answers == clients.answers.end())
      return;
    const auto status = answers->second.front().status;
    const bool may_retry = status == core::CallStatus::rejected || call.call_class != "bin-record";
    const bool is_late = fixture.loop.now() - call.first_sent_at > Millis(400);
    call.ended = status == core::CallStatus::succeeded || !may_retry || call.tries >= 3 || is_late;
    if (!call.ended)
      send(call);
  }

  Random random_;
  std::vector<policy::ClassSettings> classes_ = second_site_settings().classes;
  std::vector<std::unique_ptr<SecondSiteHost>> hosts_;
  std::uint64_t last_ref_ = 0;
};

// Returns how many calls succeeded.
std::size_t check_calls(SecondSite& site) {
  std::size_t succeeded = 0;
  for (const auto& call : site.calls) {
    const auto& answers = site.clients.answers[call.id];
    if (!answers.empty() && answers[0].status == core::CallStatus::succeeded) {
      ++succeeded;
      CHECK(answers[0].body == call.body);
      CHECK(site.runs.by_body[call.body] >= 1);
    }
    if (call.call_class == "bin-record")
      CHECK(site.runs.by_body[call.body] <= 1);
  }
  return succeeded;
}

TEST_CASE(
    "hosts that load, slow down, ignore cancels and lose answers run non-idempotent calls once at most") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  SecondSite site(seed);
  site.send_calls();
  site.finish();
  for (const auto id : site.admitted)
    CHECK(site.clients.answers[id].size() == 1);
  CHECK(check_calls(site) > site.calls.size() / 10);
  for (const auto& [key, runs] : site.runs.by_key)
    CHECK(runs == 1);
  CHECK(site.runs.by_key.size() > 20);
  CHECK(site.runs.dropped_repeats > 0);
  CHECK(site.runs.probes == 0);
  CHECK(site.runs.lost_connections > 0);
  CHECK(site.runs.loads >= 12);
  CHECK(site.fixture.counters.value("guard.host_not_ready") == 0);
}

}  // namespace
}  // namespace lotusyard::test
