// Where records of calls that must not run twice are kept. A call to it that returns has been made safe.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "idempotency/result_ledger.h"

namespace lotusyard::idempotency {

class ResultStore {
 public:
  virtual ~ResultStore() = default;
  // Whether the record could be looked for; `out` is empty if there is none.
  virtual bool find(const std::string& id, std::optional<ResultRecord>& out) = 0;
  // False: it does not stand, and what it was to precede must not be done.
  virtual bool put(const std::string& id, const ResultRecord& record) = 0;
  virtual Millis complete_from() const = 0;
  virtual void prune(Millis now) = 0;
};

}  // namespace lotusyard::idempotency
