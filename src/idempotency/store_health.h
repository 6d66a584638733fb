// Health of a store: counts and logs failed operations, and records proven corruption.
#pragma once

#include <functional>
#include <string>

#include "metrics/counters.h"
#include "sqlite/result.h"

namespace lotusyard::idempotency {

// `counters` must outlive this object.
class StoreHealth {
 public:
  using Log = std::function<void(const std::string&)>;
  StoreHealth(metrics::Counters& counters, Log log) : counters_(counters), log_(std::move(log)) {}

  // Returns whether a result code of SQLite means success; a failure of `operation` is counted and logged.
  bool check(int code, const std::string& operation);
  // Counts a failure, and logs it unless the last one was of the same kind. Always returns false.
  bool report(sqlite::ResultKind kind, const std::string& message);
  // A record was written: the next failure is logged whatever its kind.
  void on_write() { last_failure_ = sqlite::ResultKind::ok; }
  // Whether corruption was proven. It is permanent; every other failure is transient.
  bool is_damaged() const { return damaged_; }

 private:
  metrics::Counters& counters_;
  Log log_;
  sqlite::ResultKind last_failure_ = sqlite::ResultKind::ok;
  bool damaged_ = false;
};

}  // namespace lotusyard::idempotency
