// Durable store in one SQLite file with a write-ahead log, synced at every change. A transient failure (a
// full disk, an I/O error, a lock of another process) fails one operation; only proven corruption is
// permanent.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "idempotency/result_database.h"
#include "idempotency/result_store.h"
#include "idempotency/store_health.h"
#include "metrics/counters.h"
#include "sqlite/result.h"

namespace lotusyard::idempotency {

class SqliteResultStore final : public ResultStore {
 public:
  using Log = StoreHealth::Log;
  using Clock = std::function<Millis()>;
  // `now` is the wall clock's time, and `clock` a steady clock of any origin. If the file cannot be
  // opened, this is logged, and later operations try again, with backoff; a corrupt file is never reopened.
  SqliteResultStore(const std::string& path, const Bounds& bounds, Millis now, metrics::Counters& counters,
                    Log log, Clock clock = steady_now);

  bool find(const std::string& id, std::optional<ResultRecord>& out) override;
  bool put(const std::string& id, const ResultRecord& record) override;
  Millis complete_from() const override { return complete_from_; }
  void prune(Millis now) override;

  bool healthy() const { return open_ && !is_damaged(); }
  bool is_damaged() const { return health_.is_damaged(); }
  std::size_t size() const { return table_.size.records; }
  // Visits every record, in the order of their last changes.
  void for_each(const ResultDatabase::Visitor& visit);
  // For tests: limits the file's size, as if the disk were full.
  void limit_pages(int max_pages) { database_.limit_pages(max_pages); }

 private:
  static Millis steady_now();
  // Opens the file unless it is open or its backoff has not ended.
  bool is_ready();
  bool is_writable();
  bool open();
  void close();
  bool may_reopen() const { return clock_() >= next_open_; }
  bool load_complete_from();
  bool set_complete_from(Millis time);
  bool measure();
  bool may_put(const std::optional<ResultRecord>& before, const ResultRecord& record);
  void count_put(const std::string& id, const std::optional<ResultRecord>& before,
                 const ResultRecord& record);

  const std::string path_;
  const Millis created_at_;
  const Clock clock_;
  const Millis steady_at_creation_;  // reading of `clock_` at `created_at_`
  const Bounds bounds_;
  metrics::Counters& counters_;
  StoreHealth health_;
  ResultDatabase database_{health_};
  bool open_ = false;
  sqlite::Backoff backoff_;
  Millis next_open_{0};
  TableSize table_;
  Millis complete_from_{0};
};

}  // namespace lotusyard::idempotency
