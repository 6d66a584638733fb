// A dispatcher with a front end and a transport that record the requests to them, and a clock that the test
// sets.
#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/dispatcher.h"
#include "support/test_settings.h"

namespace lotusyard::test {

class RecordingFrontEnd final : public core::FrontEnd {
 public:
  void answer(core::CallId call, core::Answer&& answer) override {
    answers_[call].push_back(std::move(answer));
  }
  // All answers to the call.
  const std::vector<core::Answer>& answers(core::CallId call) const {
    static const std::vector<core::Answer> kNone;
    const auto found = answers_.find(call);
    return found == answers_.end() ? kNone : found->second;
  }
  bool has_answered(core::CallId call) const { return !answers(call).empty(); }

 private:
  std::map<core::CallId, std::vector<core::Answer>> answers_;
};

struct RecordedAttempt {
  std::string host;
  std::string key;
  std::string body;
  Millis sent_at{0};
  bool in_flight = true;
};
using RecordedAttempts = std::map<core::Attempt, RecordedAttempt>;

struct RecordedLoad {
  std::string host;
  std::uint64_t function = 0;
  int copies = 0;
};

// Checks that the settings allow each attempt. Does not end attempts by itself.
class RecordingTransport final : public core::HostTransport {
 public:
  RecordingTransport(const RecordingFrontEnd& front_end, const Millis& now, const core::Settings& settings)
      : front_end_(front_end), now_(now), retries_(settings.retries) {}

  void send_attempt(const core::Attempt& attempt, const std::string& host, const core::Call& call,
                    Millis attempt_timeout) override {
    CHECK(attempt_timeout.count() > 0);
    CHECK_FALSE(front_end_.has_answered(attempt.call));
    CHECK(attempt.number < retries_.max_attempts);
    CHECK(check_other_attempts(attempt, host) < (retries_.hedged_requests ? 2 : 1));
    attempts_[attempt] = {host, call.key, call.body, now_};
  }
  bool cancel_attempt(const core::Attempt& attempt) override {
    return std::exchange(attempts_.at(attempt).in_flight, false);
  }
  void probe(const std::string&) override {}
  void load_copies(const std::string& host, std::uint64_t function, int copies) override {
    loads_.push_back({host, function, copies});
  }
  void unload(const std::string&, std::uint64_t) override {}

  const RecordedAttempts& attempts() const { return attempts_; }
  const std::vector<RecordedLoad>& loads() const { return loads_; }
  bool is_in_flight(const core::Attempt& attempt) const { return attempts_.at(attempt).in_flight; }
  int attempts_of(core::CallId call) const {
    return static_cast<int>(std::count_if(attempts_.begin(), attempts_.end(),
                                          [call](const auto& entry) { return entry.first.call == call; }));
  }
  // To be called before the end of the attempt is reported to the dispatcher.
  void end(const core::Attempt& attempt) { attempts_.at(attempt).in_flight = false; }
  // The most attempts of one call that were in flight at once.
  int max_in_flight() const { return max_in_flight_; }

 private:
  // Returns how many other attempts of the call are in flight; they must be at other hosts.
  int check_other_attempts(const core::Attempt& attempt, const std::string& host) {
    int others = 0;
    for (const auto& [other, recorded] : attempts_) {
      if (other.call != attempt.call || !recorded.in_flight)
        continue;
      ++others;
      CHECK(recorded.host != host);
    }
    max_in_flight_ = std::max(max_in_flight_, others + 1);
    return others;
  }

  const RecordingFrontEnd& front_end_;
  const Millis& now_;
  const policy::RetrySettings retries_;
  RecordedAttempts attempts_;
  std::vector<RecordedLoad> loads_;
  int max_in_flight_ = 0;
};

// The hosts h0, h1 and so on.
inline core::HostList numbered_hosts(int count) {
  core::HostList list;
  for (int i = 0; i < count; ++i) {
    list.entries.emplace_back();
    list.entries.back().host = "h" + std::to_string(i);
  }
  return list;
}

struct DispatcherFixture {
  explicit DispatcherFixture(int hosts, const core::Settings& settings = test::settings())
      : DispatcherFixture(numbered_hosts(hosts), settings) {}
  DispatcherFixture(core::HostList&& hosts, const core::Settings& settings)
      : transport(front_end, now, settings),
        dispatcher(
            settings, [this] { return now; }, transport, counters) {
    dispatcher.update_endpoints(std::move(hosts));
  }

  // A call that any of the hosts can run.
  core::Call make_call(const std::string& call_class, const std::string& ref,
                       Millis timeout = Millis(1000)) const {
    core::Call call;
    call.ref = ref;
    call.class_name = call_class;
    call.function = 7;
    call.function_name = "0000000000000007";
    call.memory_mb = 300;
    call.lanes = 4;
    call.arrived = now;
    call.timeout = timeout;
    call.body = ref;
    return call;
  }
  std::optional<core::RejectionReason> admit(core::Call&& call) {
    return dispatcher.admit(dispatcher.allocate_call_id(), std::move(call), front_end);
  }
  core::CallId admit_call(const std::string& call_class, const std::string& ref,
                          Millis timeout = Millis(1000)) {
    const core::CallId id = dispatcher.allocate_call_id();
    CHECK_FALSE(dispatcher.admit(id, make_call(call_class, ref, timeout), front_end).has_value());
    return id;
  }
  void end_attempt(const core::Attempt& attempt, core::Outcome outcome, const std::string& body = "") {
    transport.end(attempt);
    dispatcher.attempt_ended(attempt, {outcome, 0, std::nullopt, body});
  }
  // Ends the attempts of the call that have been sent by now and are in flight.
  void end_attempts_of(core::CallId call, core::Outcome outcome) {
    const RecordedAttempts sent = transport.attempts();
    for (const auto& [attempt, recorded] : sent) {
      if (attempt.call == call && transport.is_in_flight(attempt))
        end_attempt(attempt, outcome);
    }
  }
  // Advances the clock, with a tick at each deadline.
  void advance(Millis duration) {
    const Millis until = now + duration;
    while (dispatcher.next_deadline() <= until) {
      now = std::max(now, dispatcher.next_deadline());
      dispatcher.tick();
    }
    now = until;
  }

  Millis now{1000};
  RecordingFrontEnd front_end;
  metrics::Counters counters;
  RecordingTransport transport;
  core::Dispatcher dispatcher;
};

}  // namespace lotusyard::test
