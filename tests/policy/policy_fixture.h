// Fixtures of the tests of the decision module: settings, hosts, and an invoker that passes events to a
// Policy and records the resulting actions.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lotusyard/policy/policy.h"

namespace lotusyard::policy::test {

// One invoker, three classes by the names `safe` (idempotent), `keyed` and `unsafe` (non-idempotent), each
// with a latency objective of 1 s, a deadline of 4 s and a key window of 2 s; load orders are allowed.
Settings make_settings();
// One of 100 invokers, with up to 50 attempts per call; a load takes longer than any latency objective.
Settings hundred_invoker_settings();

HostEntry host_entry(const std::string& id, HostState state = HostState::ready, double started_ms = 0);
// `count` ready hosts named w0, w1, ...
std::vector<HostEntry> numbered_hosts(int count);

// "x7" for ("x", 7).
inline std::string numbered(const char* stem, int number) { return stem + std::to_string(number); }

// One invoker: passes events to a Policy with a simulated clock, which advance() moves, and records the
// actions by their kind. Times are in milliseconds.
class PolicyFixture {
 public:
  explicit PolicyFixture(Settings settings = make_settings()) { handle(event::Start{std::move(settings)}); }

  // Handles one event and records the actions.
  void handle(const Event& event);
  void update_endpoints(std::vector<HostEntry> entries, ListKind kind = ListKind::full) {
    handle(event::EndpointListUpdate{kind, std::move(entries)});
  }
  // A client's call that expires in `expires_ms`; an instance of its function serves `lanes` calls at once.
  void request(const std::string& id, std::uint64_t function = 1, const std::string& call_class = "safe",
               double expires_ms = 4000, int lanes = 2);
  // Ends the latest attempt of a call that was sent. A call that ends with Outcome::ok is answered.
  void answer(const action::Send& send, Outcome outcome, double elapsed_ms = 100,
              Warmth warmth = Warmth::warm);
  // Answers a load order: the host now has `copies` instances of the function.
  void finish_load(const std::string& host, std::uint64_t function, int copies,
                   Outcome outcome = Outcome::ok) {
    handle(event::Loaded{host, function, outcome, Millis(500), copies});
  }
  // Moves the clock; each timer fires when it is due.
  void advance(double duration_ms);

  Policy policy;
  Millis now{1000};
  double memory_mb = 500;      // of the functions that are requested
  bool has_violation = false;  // a call was sent after its answer, or answered twice
  std::vector<action::Send> sends;
  std::vector<action::Load> loads;
  std::vector<action::Cancel> cancels;
  std::vector<std::string> rejected;          // ids of calls
  std::vector<Millis> retry_after;            // of each rejection
  std::vector<std::string> failed;            // ids of calls
  std::vector<std::string> probes;            // hosts
  std::vector<std::string> instance_queries;  // hosts that were sent a load order for 0 instances
  std::set<std::string> answered;             // ids of calls
  std::map<std::string, int> attempts;        // number of attempts by id of the call

 private:
  void record(const Action& action);
  void record(const action::Send& send);
  void record(const action::Load& load);
  void record_final_answer(const std::string& id);

  std::multimap<double, std::uint64_t> timers_;  // tokens by the time at which they are due
};

// An invoker that has a warm instance of function 1 on first_host(), with a run time of 100 ms.
PolicyFixture make_warm_invoker(Settings settings = make_settings(), int copies = 1);
// The host of the first attempt.
inline std::string first_host(const PolicyFixture& invoker) { return invoker.sends.at(0).host; }

}  // namespace lotusyard::policy::test
