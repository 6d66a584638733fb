#include "idempotency/store_health.h"

#include <utility>

#include "metrics/amqp_counters.h"

namespace lotusyard::idempotency {

bool StoreHealth::check(int code, const std::string& operation) {
  const auto kind = sqlite::classify(code);
  return kind == sqlite::ResultKind::ok || report(kind, operation + ": " + sqlite3_errstr(code));
}

bool StoreHealth::report(sqlite::ResultKind kind, const std::string& message) {
  counters_.add(metrics::kAnswersStore, sqlite::name_of(kind));
  if (kind == sqlite::ResultKind::corrupt)
    damaged_ = true;
  if (kind != std::exchange(last_failure_, kind))
    log_("answers: " + message);
  return false;
}

}  // namespace lotusyard::idempotency
