// The interface of the policy, include/robinfold/policy.h, on top of Scheduler.
#include "robinfold/policy.h"

#include <algorithm>

#include "policy/scheduler.h"

namespace robinfold {

// The scheduler between a Start and the next, or a Stop; without one, events have no effect.
class Policy::State {
 public:
  void set_gate(Gate* gate) {
    gate_ = gate;
    if (scheduler_ != nullptr)
      scheduler_->set_gate(gate);
  }

  void handle(Millis now, const Event& event, std::vector<Action>& actions) {
    now_ = std::max(now, now_);
    if (std::holds_alternative<event::Stop>(event)) {
      *this = State();
      return;
    }
    if (std::holds_alternative<event::Start>(event))
      scheduler_ = std::make_unique<Scheduler>(now_, gate_);
    if (scheduler_ != nullptr)
      scheduler_->handle(now_, event, actions);
  }

 private:
  Millis now_{kNever};
  Gate* gate_ = nullptr;
  std::unique_ptr<Scheduler> scheduler_;
};

Policy::Policy() : state_(std::make_unique<State>()) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
void Policy::guard(Gate* gate) { state_->set_gate(gate); }
void Policy::handle(Millis now, const Event& event, std::vector<Action>& out) {
  state_->handle(now, event, out);
}

}  // namespace robinfold
