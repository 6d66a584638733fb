#include "policy/simulated_hosts.h"

#include <algorithm>

namespace lotusyard::policy::test {
namespace {

constexpr double kLoadTime = 500;  // milliseconds

}  // namespace

double uniform(std::mt19937_64& random) {
  constexpr double kRange = 9007199254740992.0;  // 2^53: as many bits as a double holds
  return static_cast<double>(random() >> 11) / kRange;
}

void SimulatedHosts::start_call(std::size_t invoker, const action::Send& send, double now) {
  const bool has_instance = this->has_instance(send);
  const int in_flight = ++in_flight_[send.host];
  double duration = 1;
  if (has_instance) {
    const double slowdown = std::max(1.0, in_flight / cores_.at(send.host));
    duration = kMeanWork * slowdown * (0.5 + uniform(random_));
  }
  const Outcome outcome = has_instance ? Outcome::ok : Outcome::no_instance;
  running_calls_.emplace(now + duration, RunningCall{invoker, incarnation_, send, outcome, now});
}

void SimulatedHosts::start_load(std::size_t invoker, const action::Load& order, double now) {
  running_loads_.emplace(now + kLoadTime, RunningLoad{invoker, incarnation_, order});
}

void SimulatedHosts::finish_due(double now, std::vector<PolicyFixture>& invokers) {
  finish_calls(now, invokers);
  finish_loads(now, invokers);
}

void SimulatedHosts::finish_calls(double now, std::vector<PolicyFixture>& invokers) {
  while (!running_calls_.empty() && running_calls_.begin()->first <= now) {
    const RunningCall call = running_calls_.begin()->second;
    running_calls_.erase(running_calls_.begin());
    --in_flight_[call.send.host];
    if (call.incarnation == incarnation_)
      invokers[call.invoker].answer(call.send, call.outcome, now - call.began, Warmth::unknown);
  }
}

void SimulatedHosts::finish_loads(double now, std::vector<PolicyFixture>& invokers) {
  while (!running_loads_.empty() && running_loads_.begin()->first <= now) {
    const RunningLoad load = running_loads_.begin()->second;
    running_loads_.erase(running_loads_.begin());
    add_instance(load.order.host, load.order.function);
    if (load.incarnation == incarnation_)
      invokers[load.invoker].finish_load(load.order.host, load.order.function, 1);
  }
}

}  // namespace lotusyard::policy::test
