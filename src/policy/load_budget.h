// The quota of load orders: at most a floor plus a ratio of the requests in any window.
#pragma once

#include <deque>

#include "policy/context.h"

namespace lotusyard::policy {

// Counts load orders and requests over a sliding window.
class LoadBudget {
 public:
  explicit LoadBudget(const Context& context) : context_(context) {}

  void record_request();
  void record_order();
  // True if one more order may be sent now.
  bool admits_order();

 private:
  bool is_limited() const { return context_.settings().load_orders.window.count() > 0; }
  void drop_old_requests();

  const Context& context_;
  std::deque<Millis> requests_;  // times of arrival within the window
  std::deque<Millis> orders_;    // times of orders within the window
};

}  // namespace lotusyard::policy
