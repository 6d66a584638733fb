// Interface of a durable store for the records of calls that must not run twice.
#pragma once

#include <optional>
#include <string>

#include "idempotency/result_ledger.h"

namespace lotusyard::idempotency {

class ResultStore {
 public:
  virtual ~ResultStore() = default;
  // Looks up the record of a call; `out` is empty if there is none. Returns false if the store could not be
  // read.
  virtual bool find(const std::string& id, std::optional<ResultRecord>& out) = 0;
  // Stores the record and returns once it is durable. Returns false if it is not stored; the action that the
  // record has to precede must then not be taken.
  virtual bool put(const std::string& id, const ResultRecord& record) = 0;
  // See StoreTrust::complete_from.
  virtual Millis complete_from() const = 0;
  // Removes records that are too old or too many, by the wall clock's time `now`.
  virtual void prune(Millis now) = 0;
};

}  // namespace lotusyard::idempotency
