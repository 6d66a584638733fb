// The rules hold for random calls with and without idempotency keys, hedged requests, changes of the endpoint
// list, random outcomes and disconnects.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/dispatcher_fixture.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using core::Attempt;
using core::HostLocation;
using policy::KeyScope;

constexpr int kHosts = 6;
constexpr std::size_t kKeyedClass = 2;  // of keyed_settings()

// Host h0 is in zone z0 and cell 0, h1 in zone z1 and cell 1, h2 in zone z0 and cell 2 and so on.
HostLocation location_of(int host) { return HostLocation{"z" + std::to_string(host % 2), host % 3}; }
HostLocation location_of(const std::string& host) { return location_of(host.at(1) - '0'); }

core::HostEntry host_entry(int host) {
  core::HostEntry entry;
  entry.host = "h" + std::to_string(host);
  entry.zone = location_of(host).zone;
  entry.cell = location_of(host).cell;
  return entry;
}

core::HostList all_hosts() {
  core::HostList list;
  list.kind = core::ListKind::full;
  for (int host = 0; host < kHosts; ++host)
    list.entries.push_back(host_entry(host));
  return list;
}

core::Settings settings_for(std::uint64_t seed) {
  core::Settings settings = keyed_settings(Millis(600));
  settings.classes[kKeyedClass].scope = static_cast<KeyScope>(seed % 3);
  settings.host_protocol.answers_misses = seed % 2 == 0;
  settings.retries.hedged_requests = seed % 4 != 0;
  return settings;
}

class RandomKeyedCalls {
 public:
  explicit RandomKeyedCalls(std::uint64_t seed)
      : random_(seed), settings_(settings_for(seed)), fixture_(all_hosts(), settings_) {}

  void step(int number) {
    if (one_in(3))
      admit_call("r" + std::to_string(number));
    end_loads();
    end_attempts();
    if (one_in(12) && class_of_.count(last_id_) != 0 && !fixture_.front_end.has_answered(last_id_))
      disconnect_client(last_id_);
    if (one_in(40))
      fixture_.dispatcher.update_endpoints(one_in(2) ? all_hosts() : some_hosts());
    fixture_.now += Millis(static_cast<double>(below(random_, 40)));
    fixture_.dispatcher.tick();
  }

  void finish() {
    for (int i = 0; i < 200; ++i) {
      fixture_.now += Millis(20);
      fixture_.dispatcher.tick();
    }
    CHECK(fixture_.dispatcher.open_calls() == 0);
    CHECK(fixture_.transport.max_in_flight() <= (settings_.retries.hedged_requests ? 2 : 1));
    CHECK(fixture_.counters.value("calls.overdue") == 0);
    check_answers();
    check_attempts();
    check_runs();
    check_keys();
  }

  bool had_hedged_request() const { return fixture_.transport.max_in_flight() == 2; }

 private:
  bool one_in(std::size_t count) { return below(random_, count) == 0; }

  core::HostList some_hosts() {
    core::HostList list;
    list.kind = core::ListKind::delta;
    for (int host = 0; host < kHosts; ++host) {
      if (!one_in(3))
        continue;
      list.entries.push_back(host_entry(host));
      list.entries.back().state = static_cast<core::HostState>(below(random_, 3));
    }
    return list;
  }

  // A key is always used with the same function.
  core::Call random_call(const std::string& ref) {
    core::Call call;
    call.ref = ref;
    call.class_name = settings_.classes[below(random_, 3)].name;
    const std::size_t key = below(random_, 40);
    const std::size_t function = 1 + below(random_, 3);
    const bool keyed = call.class_name == "booking";
    if (keyed)
      call.key = "k" + std::to_string(key);
    call.function = keyed ? 1 + key % 3 : function;
    call.lanes = 4;
    call.arrived = fixture_.now;
    call.timeout = Millis(300.0 + static_cast<double>(below(random_, 900)));
    call.retry = one_in(4);
    return call;
  }
  void admit_call(const std::string& ref) {
    core::Call call = random_call(ref);
    last_id_ = fixture_.dispatcher.allocate_call_id();
    class_of_[last_id_] = call.class_name;
    if (fixture_.dispatcher.admit(last_id_, std::move(call), fixture_.front_end).has_value())
      class_of_.erase(last_id_);
  }
  void disconnect_client(core::CallId id) {
    disconnected_.insert(id);
    fixture_.dispatcher.client_disconnected(id);
  }

  void end_loads() {
    while (loads_ended_ < fixture_.transport.loads().size()) {
      const RecordedLoad load = fixture_.transport.loads()[loads_ended_++];
      if (load.copies > 0)
        fixture_.dispatcher.load_ended({load.host, load.function, core::Outcome::ok, Millis(200), 1});
    }
  }
  void end_attempts() {
    const RecordedAttempts sent = fixture_.transport.attempts();
    for (const auto& [attempt, recorded] : sent) {
      if (!fixture_.transport.is_in_flight(attempt) || !one_in(12))
        continue;
      const auto outcome = static_cast<core::Outcome>(below(random_, 9));
      if (outcome == core::Outcome::timeout || outcome == core::Outcome::cancelled)
        continue;  // only the dispatcher itself produces these
      if (policy::proves_never_ran(outcome))
        never_ran_.insert(attempt);
      fixture_.end_attempt(attempt, outcome);
    }
  }

  void check_answers() const {
    for (const auto& [id, class_name] : class_of_)
      CHECK(fixture_.front_end.answers(id).size() == (disconnected_.count(id) != 0 ? 0U : 1U));
  }
  void check_attempts() const {
    for (const auto& [attempt, recorded] : fixture_.transport.attempts()) {
      CHECK_FALSE(recorded.in_flight);
      CHECK(attempt.number < settings_.retries.max_attempts);
    }
  }
  // A call that may have run is not rejected, and one that is not idempotent runs at most once.
  void check_runs() const {
    std::map<core::CallId, int> runs;
    for (const auto& [attempt, recorded] : fixture_.transport.attempts()) {
      if (never_ran_.count(attempt) == 0)
        ++runs[attempt.call];
    }
    for (const auto& [id, count] : runs) {
      if (class_of_.at(id) == "bin-record")
        CHECK(count <= 1);
      const auto& answers = fixture_.front_end.answers(id);
      if (!answers.empty())
        CHECK(answers[0].status != core::CallStatus::rejected);
    }
  }

  void check_keys() const {
    std::map<std::string, std::vector<RecordedAttempt>> attempts_by_key;
    for (const auto& [attempt, recorded] : fixture_.transport.attempts()) {
      if (never_ran_.count(attempt) == 0 && !recorded.key.empty())
        attempts_by_key[recorded.key].push_back(recorded);
    }
    for (auto& [key, attempts] : attempts_by_key) {
      std::sort(attempts.begin(), attempts.end(),
                [](const auto& one, const auto& other) { return one.sent_at < other.sent_at; });
      check_attempts_with_key(attempts);
    }
  }
  // All attempts of a request must be within the window and scope of the first. After two windows without an
  // attempt the key belongs to a new request.
  void check_attempts_with_key(const std::vector<RecordedAttempt>& attempts) const {
    const auto& keyed_class = settings_.classes[kKeyedClass];
    const RecordedAttempt* first = &attempts[0];
    const RecordedAttempt* previous = &attempts[0];
    for (const auto& attempt : attempts) {
      if (attempt.sent_at - previous->sent_at >= keyed_class.key_window * 2)
        first = &attempt;
      previous = &attempt;
      CHECK(attempt.sent_at - first->sent_at < keyed_class.key_window);
      const HostLocation first_location = location_of(first->host);
      const HostLocation location = location_of(attempt.host);
      if (keyed_class.scope == KeyScope::zone)
        CHECK(first_location.zone == location.zone);
      if (keyed_class.scope == KeyScope::cell)
        CHECK(first_location.cell == location.cell);
    }
  }

  Random random_;
  const core::Settings settings_;
  DispatcherFixture fixture_;
  std::map<core::CallId, std::string> class_of_;  // of admitted calls
  std::set<core::CallId> disconnected_;
  std::set<Attempt> never_ran_;
  std::size_t loads_ended_ = 0;
  core::CallId last_id_ = 0;
};

TEST_CASE("attempts with a key stay within its scope and window; all attempts keep the settings") {
  int with_hedged_request = 0;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    CAPTURE(seed);
    RandomKeyedCalls calls(seed);
    for (int step = 0; step < 300; ++step)
      calls.step(step);
    calls.finish();
    with_hedged_request += calls.had_hedged_request() ? 1 : 0;
  }
  CHECK(with_hedged_request > 0);
}

}  // namespace
}  // namespace lotusyard::test
