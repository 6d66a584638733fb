// The store in one SQLite file: write-ahead log, synced at every change.
#pragma once

#include <functional>
#include <memory>

#include "answers/store.h"
#include "core/counters.h"

struct sqlite3;
struct sqlite3_stmt;

namespace lotusyard::answers {

class SqliteStore final : public Store {
 public:
  using Log = std::function<void(const std::string&)>;
  // A file that cannot be opened or is damaged is said in the log and leaves a store that takes nothing.
  SqliteStore(const std::string& path, const Bounds& bounds, Millis now, core::Counters& counters, Log log);
  ~SqliteStore() override;
  SqliteStore(const SqliteStore&) = delete;
  SqliteStore& operator=(const SqliteStore&) = delete;

  bool find(const std::string& id, std::optional<Record>& out) override;
  bool put(const std::string& id, const Record& record) override;
  Millis complete_from() const override { return complete_from_; }
  void prune(Millis now) override;

  bool healthy() const { return db_ != nullptr && !damaged_; }
  std::size_t size() const { return size_.records; }
  // Of every record, the one changed first first.
  void each(const std::function<void(const std::string&, const Record&)>& see);
  void limit_pages(int most);  // for tests: the file grows no further, as if the disk were full

 private:
  sqlite3* db_ = nullptr;
  bool damaged_ = false, full_ = false;
  Bounds bounds_;
  Size size_;
  std::size_t answered_ = 0;
  Millis complete_from_{0};
  core::Counters& counters_;
  Log log_;

  bool run(const char* sql);
  bool told(int code, const char* what);  // false, counted and logged, unless it is well
  bool set_complete_from(Millis at);
  void measure();
};

}  // namespace lotusyard::answers
