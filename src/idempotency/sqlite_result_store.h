// The store in one SQLite file: write-ahead log, synced at every change. Trouble that may pass (a full disk,
// an I/O error, a lock held elsewhere) fails the one operation; only proven damage is final.
#pragma once

#include <functional>
#include <memory>

#include "idempotency/result_store.h"
#include "metrics/counters.h"
#include "sqlite/result.h"

struct sqlite3;
struct sqlite3_stmt;

namespace lotusyard::idempotency {

class SqliteResultStore final : public ResultStore {
 public:
  using Log = std::function<void(const std::string&)>;
  using Clock = std::function<Millis()>;
  // The log says of a file that cannot be opened or is damaged; the store takes nothing then. Opening is
  // tried again, with backoff by `clock` (steady, any origin), at the operations that follow, unless it is
  // damaged.
  SqliteResultStore(const std::string& path, const Bounds& bounds, Millis now, metrics::Counters& counters,
                    Log log, Clock clock = steady_now);
  ~SqliteResultStore() override;
  SqliteResultStore(const SqliteResultStore&) = delete;
  SqliteResultStore& operator=(const SqliteResultStore&) = delete;

  bool find(const std::string& id, std::optional<ResultRecord>& out) override;
  bool put(const std::string& id, const ResultRecord& record) override;
  Millis complete_from() const override { return complete_from_; }
  void prune(Millis now) override;

  bool healthy() const { return open_ && !damaged_; }
  bool is_damaged() const { return damaged_; }
  std::size_t size() const { return size_.records; }
  // Of every record, the one changed first first.
  void for_each(const std::function<void(const std::string&, const ResultRecord&)>& see);
  void limit_pages(int most);  // for tests: the file grows no further, as if the disk were full

 private:
  sqlite3* db_ = nullptr;
  const std::string path_;
  const Millis created_at_;
  const Clock clock_;
  const Millis created_clock_;  // what `clock_` read at `created_at_`
  bool open_ = false, damaged_ = false;
  sqlite::ResultKind last_failure_ = sqlite::ResultKind::ok;  // said in the log already
  sqlite::Backoff backoff_;
  Millis next_open_{0};
  Bounds bounds_;
  Size size_;
  std::size_t answered_ = 0;
  Millis complete_from_{0};
  metrics::Counters& counters_;
  Log log_;

  static Millis steady_now();
  bool is_ready();  // opens what is not open, unless it is too early to try again
  bool is_writable();
  bool open();
  bool set_up();
  void close();
  bool run(const char* sql);
  bool check_status(int code, const char* what);  // false, counted and logged, unless it is well
  bool report(sqlite::ResultKind kind, const std::string& text);
  bool check();
  bool load_complete_from();
  bool set_complete_from(Millis at);
  bool measure();
};

}  // namespace lotusyard::idempotency
