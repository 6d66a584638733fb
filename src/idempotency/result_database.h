// The SQLite file with the results of calls: its schema and its statements.
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

// What the table of calls holds.
struct TableSize {
  Size size;
  std::size_t answered = 0;  // records with an answer
};

// Every failure is reported to `health`, which must outlive it. Apart from open() and close(), only to be
// used while the file is open. Not thread-safe.
class ResultDatabase {
 public:
  using Visitor = std::function<void(const std::string& id, const ResultRecord& record)>;

  explicit ResultDatabase(StoreHealth& health) : health_(health) {}
  ~ResultDatabase() { close(); }
  ResultDatabase(const ResultDatabase&) = delete;
  ResultDatabase& operator=(const ResultDatabase&) = delete;

  // Opens the file, creates what is missing of the schema, and checks that the file is not corrupt. Close it
  // if this returns false. The file is locked against other processes.
  bool open(const std::string& path);
  void close();
  // SQLite opens a file for reading only if the file system is read-only.
  bool is_read_only() const;

  Lookup<ResultRecord> find(const std::string& id);
  bool put(const std::string& id, const ResultRecord& record);
  // In the order of their last changes.
  void for_each(const Visitor& visit);

  // Since when the table has all calls that went out, see StoreTrust::complete_from.
  Lookup<Millis> read_complete_from();
  bool write_complete_from(Millis time);

  std::optional<TableSize> measure();
  // The latest change of the records that the pruning would remove; zero if there are none. Nothing if the
  // query failed.
  std::optional<Millis> latest_prunable(const Pruning& pruning);
  bool remove(const Pruning& pruning);

  // For tests: the file grows no further, as if the disk were full.
  void limit_pages(int max_pages);

 private:
  bool create_schema();
  bool check_integrity();
  bool execute(const std::string& sql);

  StoreHealth& health_;
  sqlite3* db_ = nullptr;
};

// What a record takes in the file, estimated, in bytes.
std::size_t stored_size(const std::string& id, const ResultRecord& record);

}  // namespace lotusyard::idempotency
