// Implements include/lotusyard/policy/policy.h on top of Scheduler.
#include "lotusyard/policy/policy.h"

#include <algorithm>

#include "policy/scheduler.h"

namespace lotusyard::policy {

// Owns the Scheduler between a Start and the next Start or Stop; without one, events have no effect.
class Policy::State {
 public:
  void set_host_filter(HostFilter* host_filter) {
    host_filter_ = host_filter;
    if (scheduler_ != nullptr)
      scheduler_->set_host_filter(host_filter);
  }

  void handle(Millis now, const Event& event, std::vector<Action>& actions) {
    now_ = std::max(now, now_);
    if (std::holds_alternative<event::Stop>(event)) {
      *this = State();
      return;
    }
    if (std::holds_alternative<event::Start>(event))
      scheduler_ = std::make_unique<Scheduler>(now_, host_filter_);
    if (scheduler_ != nullptr)
      scheduler_->handle(now_, event, actions);
  }

  FunctionTableSize function_table_size() const {
    return scheduler_ != nullptr ? scheduler_->function_table_size() : FunctionTableSize{};
  }

 private:
  Millis now_{kNever};
  HostFilter* host_filter_ = nullptr;
  std::unique_ptr<Scheduler> scheduler_;
};

Policy::Policy() : state_(std::make_unique<State>()) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
void Policy::set_host_filter(HostFilter* host_filter) { state_->set_host_filter(host_filter); }
void Policy::handle(Millis now, const Event& event, std::vector<Action>& out) {
  state_->handle(now, event, out);
}
FunctionTableSize Policy::function_table_size() const { return state_->function_table_size(); }

}  // namespace lotusyard::policy
