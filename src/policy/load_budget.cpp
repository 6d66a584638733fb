#include "policy/load_budget.h"

namespace lotusyard::policy {

void LoadBudget::record_request() {
  if (is_limited())
    requests_.push_back(context_.now());
  drop_old_requests();
}

void LoadBudget::record_order() {
  if (is_limited())
    orders_.push_back(context_.now());
}

bool LoadBudget::admits_order() {
  if (!is_limited())
    return true;
  const Settings& settings = context_.settings();
  while (!orders_.empty() && context_.now() - orders_.front() > settings.load_orders.window) {
    orders_.pop_front();
  }
  drop_old_requests();
  const double requests = static_cast<double>(requests_.size());
  const double orders = static_cast<double>(orders_.size());
  return orders + 1 <= settings.load_orders.floor + settings.load_orders.ratio * requests;
}

void LoadBudget::drop_old_requests() {
  const Millis window = context_.settings().load_orders.window;
  while (!requests_.empty() && context_.now() - requests_.front() >= window) {
    requests_.pop_front();
  }
}

}  // namespace lotusyard::policy
