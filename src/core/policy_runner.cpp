#include "core/policy_runner.h"

#include <utility>

namespace lotusyard::core {

void PolicyRunner::execute_steps(Steps&& steps) {
  for (auto& step : steps)
    queue_.push_back(std::move(step));
  if (executing_)
    return;  // the outer call of this function executes them
  executing_ = true;
  while (!queue_.empty()) {
    const Step step = std::move(queue_.front());
    queue_.pop_front();
    execute_(step);
  }
  executing_ = false;
}

}  // namespace lotusyard::core
