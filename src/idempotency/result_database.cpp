#include "idempotency/result_database.h"

#include <sqlite3.h>

#include <utility>

#include "sqlite/query.h"

namespace lotusyard::idempotency {
namespace {

using sqlite::Query;

// Estimated size of a row and its index entries, without the id and the body.
constexpr std::size_t kRecordOverheadBytes = 160;

// Column names are part of the stored schema: `verdict` holds the status, `cooldown` the time to retry after.
constexpr char kCreateCalls[] =
    "CREATE TABLE IF NOT EXISTS calls (id BLOB PRIMARY KEY, stage INTEGER, verdict INTEGER,"
    " cooldown REAL, body BLOB, at REAL, address BLOB) WITHOUT ROWID";

// Reads the columns stage, verdict, cooldown, body, at and address. Returns nothing if a value is one that
// this program never writes, which means that the file is corrupt.
std::optional<ResultRecord> read_record(Query& row, int first_column) {
  const int stage = static_cast<int>(row.column_double(first_column));
  const int status = static_cast<int>(row.column_double(first_column + 1));
  const bool is_valid_stage =
      stage >= static_cast<int>(ResultStage::sent) && stage <= static_cast<int>(ResultStage::confirmed);
  const bool is_valid_status = status >= static_cast<int>(core::CallStatus::succeeded) &&
                               status <= static_cast<int>(core::CallStatus::failed);
  if (!is_valid_stage || !is_valid_status)
    return std::nullopt;
  ResultRecord record;
  record.stage = static_cast<ResultStage>(stage);
  record.answer.status = static_cast<core::CallStatus>(status);
  record.answer.retry_after = Millis(row.column_double(first_column + 2));
  record.answer.body = row.column_blob(first_column + 3);
  record.updated_at = Millis(row.column_double(first_column + 4));
  record.address = row.column_blob(first_column + 5);
  return record;
}

// The SQL condition for records that a pruning removes; its parameter 1 is Pruning::older_than.
std::string prunable(const Pruning& pruning) {
  return "at < ?1 OR id IN (SELECT id FROM calls WHERE stage >= 3 ORDER BY at LIMIT " +
         std::to_string(pruning.excess) + ")";
}

}  // namespace

std::size_t stored_size(const std::string& id, const ResultRecord& record) {
  return kRecordOverheadBytes + id.size() + record.answer.body.size();
}

bool ResultDatabase::open(const std::string& path) {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  return health_.check(sqlite3_open_v2(path.c_str(), &db_, flags, nullptr), "open") && create_schema() &&
         check_integrity();
}

void ResultDatabase::close() { sqlite3_close(std::exchange(db_, nullptr)); }

bool ResultDatabase::is_read_only() const { return sqlite3_db_readonly(db_, "main") == 1; }

bool ResultDatabase::create_schema() {
  // Without the lock, two processes with the same file could both run the same call.
  return execute("PRAGMA locking_mode = EXCLUSIVE") && execute("PRAGMA journal_mode = WAL") &&
         execute("PRAGMA synchronous = FULL") && execute(kCreateCalls) &&
         execute("CREATE INDEX IF NOT EXISTS calls_at ON calls (at)") &&
         execute("CREATE TABLE IF NOT EXISTS about (complete_from REAL)");
}

bool ResultDatabase::check_integrity() {
  Query query(db_, "PRAGMA quick_check(1)");
  if (!health_.check(query.step(), "check"))
    return false;
  const std::string line = query.column_blob(0);
  const auto kind = sqlite::classify_check(line);
  return kind == sqlite::ResultKind::ok || health_.report(kind, "check: " + line);
}

bool ResultDatabase::execute(const std::string& sql) {
  if (health_.is_damaged() || db_ == nullptr)
    return false;
  Query query(db_, sql.c_str());
  int code = query.step();
  while (code == SQLITE_ROW)
    code = query.step();
  return health_.check(code, sql);
}

Lookup<ResultRecord> ResultDatabase::find(const std::string& id) {
  Query query(db_, "SELECT stage, verdict, cooldown, body, at, address FROM calls WHERE id = ?1");
  const int code = query.bind_blob(1, id).step();
  if (!health_.check(code, "find"))
    return {};
  if (code != SQLITE_ROW)
    return {true, std::nullopt};
  auto record = read_record(query, 0);
  const bool ok = record.has_value() || health_.check(SQLITE_CORRUPT, "find");
  return {ok, std::move(record)};
}

bool ResultDatabase::put(const std::string& id, const ResultRecord& record) {
  Query query(db_, "INSERT OR REPLACE INTO calls VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)");
  query.bind_blob(1, id);
  query.bind_double(2, static_cast<int>(record.stage));
  query.bind_double(3, static_cast<int>(record.answer.status));
  query.bind_double(4, record.answer.retry_after.count());
  query.bind_blob(5, record.answer.body);
  query.bind_double(6, record.updated_at.count());
  query.bind_blob(7, record.address);
  return health_.check(query.step(), "put");
}

void ResultDatabase::for_each(const Visitor& visit) {
  Query query(db_, "SELECT id, stage, verdict, cooldown, body, at, address FROM calls ORDER BY at, id");
  int code = query.step();
  for (; code == SQLITE_ROW; code = query.step()) {
    const auto record = read_record(query, 1);
    if (!record) {
      health_.check(SQLITE_CORRUPT, "list");
      return;
    }
    visit(query.column_blob(0), *record);
  }
  health_.check(code, "list");
}

Lookup<Millis> ResultDatabase::read_complete_from() {
  Query query(db_, "SELECT complete_from FROM about");
  const int code = query.step();
  if (!health_.check(code, "about"))
    return {};
  if (code != SQLITE_ROW)
    return {true, std::nullopt};
  return {true, Millis(query.column_double(0))};
}

bool ResultDatabase::write_complete_from(Millis time) {
  if (!execute("DELETE FROM about"))
    return false;
  Query query(db_, "INSERT INTO about VALUES (?1)");
  return health_.check(query.bind_double(1, time.count()).step(), "about");
}

std::optional<TableSize> ResultDatabase::measure() {
  Query query(db_,
              "SELECT count(*), coalesce(sum(length(id) + length(body)), 0), coalesce(sum(stage >= 3), 0)"
              " FROM calls");
  if (!health_.check(query.step(), "measure"))
    return std::nullopt;
  TableSize out;
  out.size.records = static_cast<std::size_t>(query.column_double(0));
  out.size.bytes = static_cast<std::size_t>(query.column_double(1)) + kRecordOverheadBytes * out.size.records;
  out.answered = static_cast<std::size_t>(query.column_double(2));
  return out;
}

std::optional<Millis> ResultDatabase::latest_prunable(const Pruning& pruning) {
  Query query(db_, ("SELECT max(at) FROM calls WHERE " + prunable(pruning)).c_str());
  if (!health_.check(query.bind_double(1, pruning.older_than.count()).step(), "prune"))
    return std::nullopt;
  return Millis(query.column_double(0));
}

bool ResultDatabase::remove(const Pruning& pruning) {
  Query query(db_, ("DELETE FROM calls WHERE " + prunable(pruning)).c_str());
  return health_.check(query.bind_double(1, pruning.older_than.count()).step(), "prune");
}

void ResultDatabase::limit_pages(int max_pages) {
  execute("PRAGMA max_page_count = " + std::to_string(max_pages));
}

}  // namespace lotusyard::idempotency
