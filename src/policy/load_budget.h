// The ration of load orders (rule 5).
#pragma once

#include <deque>

#include "policy/context.h"

namespace lotusyard::policy {

// Load orders of one window are at most a floor plus a ratio of the requests taken in that window.
class LoadBudget {
 public:
  explicit LoadBudget(const Context& context) : context_(context) {}

  void record_request();
  void record_order();
  // True if one more order may go out now.
  bool admits_order();

 private:
  bool is_limited() const { return context_.settings().load_orders.window.count() > 0; }
  void drop_old_requests();

  const Context& context_;
  std::deque<Millis> requests_;  // times of arrival within the window
  std::deque<Millis> orders_;    // times of orders within the window
};

}  // namespace lotusyard::policy
