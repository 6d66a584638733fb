// The SQLite file that holds the results of calls: its schema and its statements.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "idempotency/result_ledger.h"
#include "idempotency/store_health.h"

struct sqlite3;

namespace lotusyard::idempotency {

// The outcome of a query that may find nothing. `ok` is false if the query itself failed.
template <typename Value>
struct Lookup {
  bool ok = false;
  std::optional<Value> value;
};

// The size of the table of calls.
struct TableSize {
  Size size;
  std::size_t answered = 0;  // records with an answer
};

// Every failure is reported to `health`, which must outlive it. All functions but open() and close()
// require that the file is open. Not thread-safe.
class ResultDatabase {
 public:
  using Visitor = std::function<void(const std::string& id, const ResultRecord& record)>;

  explicit ResultDatabase(StoreHealth& health) : health_(health) {}
  ~ResultDatabase() { close(); }
  ResultDatabase(const ResultDatabase&) = delete;
  ResultDatabase& operator=(const ResultDatabase&) = delete;

  // Opens the file, locks it against other processes, creates missing parts of the schema, and checks that
  // the file is not corrupt. To be followed by close() if this returns false.
  bool open(const std::string& path);
  void close();
  // Whether the file could only be opened for reading, as on a read-only file system.
  bool is_read_only() const;

  Lookup<ResultRecord> find(const std::string& id);
  bool put(const std::string& id, const ResultRecord& record);
  // Visits every record, in the order of their last changes.
  void for_each(const Visitor& visit);

  // Since when the table has a record of every call that was sent, see StoreTrust::complete_from.
  Lookup<Millis> read_complete_from();
  bool write_complete_from(Millis time);

  std::optional<TableSize> measure();
  // The latest change of the records that the pruning would remove; zero if there are none. Nothing if the
  // query failed.
  std::optional<Millis> latest_prunable(const Pruning& pruning);
  bool remove(const Pruning& pruning);

  // For tests: limits the file's size, as if the disk were full.
  void limit_pages(int max_pages);

 private:
  bool create_schema();
  bool check_integrity();
  bool execute(const std::string& sql);

  StoreHealth& health_;
  sqlite3* db_ = nullptr;
};

// Estimated size of a record in the file, in bytes.
std::size_t stored_size(const std::string& id, const ResultRecord& record);

}  // namespace lotusyard::idempotency
