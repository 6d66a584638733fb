#include "policy/context.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lotusyard::policy {

void Context::begin_event(Millis now, std::vector<Action>& actions) {
  now_ = std::max(now, now_);
  actions_ = &actions;
}

void Context::apply_settings(const Settings& settings) {
  settings_ = settings;
  settings_.classes.clear();
  settings_.invokers = std::max(settings_.invokers, 1);
}

void Context::emit(Action&& action) { actions_->push_back(std::move(action)); }

double Context::random_fraction() { return static_cast<double>(random_() % 1000) / 1000; }

double Context::decay(Millis since, Millis time_constant) const {
  return std::exp(-((now_ - since) / time_constant));
}

}  // namespace lotusyard::policy
