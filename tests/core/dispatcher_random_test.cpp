// The rules hold for random calls, outcomes and disconnects.
#include <catch2/catch.hpp>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "core/dispatcher_fixture.h"
#include "support/random_input.h"

namespace lotusyard::test {
namespace {

// How long after its deadline a call may be answered.
constexpr Millis kAnswerGrace{16};

struct AdmittedCall {
  Millis expires_at{0};
  bool non_idempotent = false;
  bool client_disconnected = false;
  int runs = 0;  // attempts that may have run
};

class RandomCalls {
 public:
  explicit RandomCalls(std::uint64_t seed) : random_(seed) {}

  void step(int number) {
    if (one_in(4))
      admit_call("r" + std::to_string(number));
    end_loads();
    end_attempts();
    if (one_in(10) && !calls_.empty())
      disconnect_client();
    fixture_.advance(Millis(static_cast<double>(below(random_, 40))));
    check_answers_are_in_time();
  }

  void finish() {
    fixture_.advance(Millis(3000));
    CHECK(fixture_.dispatcher.open_calls() == 0);
    for (const auto& [id, call] : calls_)
      check_ended_call(id, call);
    for (const auto& [attempt, recorded] : fixture_.transport.attempts())
      CHECK_FALSE(recorded.in_flight);
  }

 private:
  bool one_in(std::size_t count) { return below(random_, count) == 0; }

  void admit_call(const std::string& ref) {
    const bool non_idempotent = one_in(2);
    const Millis timeout(50.0 + static_cast<double>(below(random_, 900)));
    const auto id = fixture_.admit_call(non_idempotent ? "bin-record" : "bin-check", ref, timeout);
    calls_[id].expires_at = fixture_.now + timeout;
    calls_[id].non_idempotent = non_idempotent;
  }

  void end_loads() {
    const std::vector<RecordedLoad> loads = fixture_.transport.loads();
    for (; loads_ended_ < loads.size(); ++loads_ended_) {
      const RecordedLoad& load = loads[loads_ended_];
      const bool succeeds = !one_in(4);
      const auto outcome = succeeds ? core::Outcome::ok : core::Outcome::at_capacity;
      fixture_.dispatcher.load_ended({load.host, load.function, outcome, Millis(200), succeeds ? 1 : 0});
    }
  }

  void end_attempts() {
    const RecordedAttempts sent = fixture_.transport.attempts();
    for (const auto& [attempt, recorded] : sent) {
      if (!fixture_.transport.is_in_flight(attempt) || !one_in(3))
        continue;
      const auto outcome = static_cast<core::Outcome>(below(random_, 9));
      if (outcome == core::Outcome::timeout || outcome == core::Outcome::cancelled)
        continue;  // only the dispatcher itself produces these
      if (!policy::proves_never_ran(outcome))
        ++calls_.at(attempt.call).runs;
      fixture_.end_attempt(attempt, outcome, recorded.body);
    }
  }

  void disconnect_client() {
    auto& [id, call] = *std::next(calls_.begin(), static_cast<std::ptrdiff_t>(below(random_, calls_.size())));
    if (fixture_.front_end.has_answered(id))
      return;
    call.client_disconnected = true;
    fixture_.dispatcher.client_disconnected(id);
  }

  void check_answers_are_in_time() const {
    for (const auto& [id, call] : calls_) {
      if (fixture_.now > call.expires_at + kAnswerGrace && !call.client_disconnected)
        CHECK(fixture_.front_end.answers(id).size() == 1);
    }
  }

  void check_ended_call(core::CallId id, const AdmittedCall& call) const {
    const auto& answers = fixture_.front_end.answers(id);
    CHECK(answers.size() == (call.client_disconnected ? 0U : 1U));
    if (call.non_idempotent)
      CHECK(call.runs <= 1);
    if (!answers.empty() && answers[0].status == core::CallStatus::rejected)
      CHECK(call.runs == 0);
  }

  Random random_;
  DispatcherFixture fixture_{3};
  std::map<core::CallId, AdmittedCall> calls_;
  std::size_t loads_ended_ = 0;
};

TEST_CASE(
    "a call gets one answer in time, has one attempt in flight, and runs once if it is not idempotent") {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    CAPTURE(seed);
    RandomCalls calls(seed);
    for (int step = 0; step < 400; ++step)
      calls.step(step);
    calls.finish();
  }
}

}  // namespace
}  // namespace lotusyard::test
