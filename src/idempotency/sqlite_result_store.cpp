#include "idempotency/sqlite_result_store.h"

#include <algorithm>
#include <utility>

#include "metrics/amqp_counters.h"
#include "sqlite/query.h"

namespace lotusyard::idempotency {
namespace {

using sqlite::Query;

constexpr std::size_t kRecordBytes = 160;  // about what a row and its indexes take beside its texts

// Of columns stage, verdict, cooldown, body, at, address. False: no record of ours, so the file is damaged.
bool read(Query& row, int first, ResultRecord& out) {
  const int stage = static_cast<int>(row.column_double(first)),
            status = static_cast<int>(row.column_double(first + 1));
  if (stage < 1 || stage > 4 || status < 0 || status > 2)
    return false;
  out.stage = static_cast<ResultStage>(stage);
  out.answer = {static_cast<core::CallStatus>(status), Millis(row.column_double(first + 2)),
                row.column_blob(first + 3)};
  out.at = Millis(row.column_double(first + 4));
  out.address = row.column_blob(first + 5);
  return true;
}

}  // namespace

SqliteResultStore::SqliteResultStore(const std::string& path, const Bounds& bounds, Millis now,
                                     metrics::Counters& counters, Log log, Clock clock)
    : path_(path),
      created_at_(now),
      clock_(std::move(clock)),
      created_clock_(clock_()),
      bounds_(bounds),
      counters_(counters),
      log_(std::move(log)) {
  open();
}

SqliteResultStore::~SqliteResultStore() { close(); }

Millis SqliteResultStore::steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

void SqliteResultStore::close() {
  sqlite3_close(std::exchange(db_, nullptr));
  open_ = false;
}

bool SqliteResultStore::is_ready() {
  if (damaged_)
    return false;
  if (open_)
    return true;
  return clock_() >= next_open_ && open();
}

// SQLite opens a file for reading alone if the file system is read-only, as it is after an error of the disk;
// that ends only with another opening.
bool SqliteResultStore::is_writable() {
  if (!is_ready())
    return false;
  if (sqlite3_db_readonly(db_, "main") != 1)
    return true;
  if (clock_() >= next_open_) {
    close();
    if (!open())
      return false;
    next_open_ = clock_() + sqlite::Backoff::kLongest;
  }
  return sqlite3_db_readonly(db_, "main") != 1 || check_status(SQLITE_CANTOPEN, "read-only");
}

bool SqliteResultStore::open() {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  open_ = check_status(sqlite3_open_v2(path_.c_str(), &db_, flags, nullptr), "open") && set_up();
  if (open_) {
    backoff_.reset();
    return true;
  }
  close();
  next_open_ = clock_() + backoff_.next();
  return false;
}

bool SqliteResultStore::set_up() {
  // One process takes the file's place of another that runs; both would take a call for their own.
  return run("PRAGMA locking_mode = EXCLUSIVE") && run("PRAGMA journal_mode = WAL") &&
         run("PRAGMA synchronous = FULL") &&
         run("CREATE TABLE IF NOT EXISTS calls (id BLOB PRIMARY KEY, stage INTEGER, verdict INTEGER,"
             " cooldown REAL, body BLOB, at REAL, address BLOB) WITHOUT ROWID") &&
         run("CREATE INDEX IF NOT EXISTS calls_at ON calls (at)") &&
         run("CREATE TABLE IF NOT EXISTS about (complete_from REAL)") && check() && load_complete_from() &&
         measure();
}

bool SqliteResultStore::check() {
  Query query(db_, "PRAGMA quick_check(1)");
  const int code = query.step();
  if (!check_status(code, "check"))
    return false;
  const std::string line = query.column_blob(0);
  const auto kind = sqlite::classify_check(line);
  return kind == sqlite::ResultKind::ok || report(kind, "check: " + line);
}

bool SqliteResultStore::load_complete_from() {
  Query about(db_, "SELECT complete_from FROM about");
  const int found = about.step();
  if (!check_status(found, "about"))
    return false;
  // A new store knows nothing of what was before; until it was open nothing was recorded, so nothing went
  // out.
  if (found != SQLITE_ROW)
    return set_complete_from(created_at_);
  // The time is of now: a predecessor that held the file until now may have forgotten calls meanwhile. What
  // this process has forgotten itself stays forgotten, whatever the mark is bounded to.
  const Millis now = created_at_ + (clock_() - created_clock_);
  complete_from_ = std::max(complete_from_, bounded_mark(Millis(about.column_double(0)), now));
  return true;
}

bool SqliteResultStore::check_status(int code, const char* what) {
  const auto kind = sqlite::classify(code);
  if (kind == sqlite::ResultKind::ok)
    return true;
  return report(kind, std::string(what) + ": " + sqlite3_errstr(code));
}

bool SqliteResultStore::report(sqlite::ResultKind kind, const std::string& text) {
  counters_.add(metrics::kAnswersStore, sqlite::name_of(kind));
  if (kind == sqlite::ResultKind::corrupt)
    damaged_ = true;
  if (kind != std::exchange(last_failure_, kind))
    log_("answers: " + text);
  return false;
}

bool SqliteResultStore::run(const char* sql) {
  if (damaged_ || db_ == nullptr)
    return false;
  Query query(db_, sql);
  int code = query.step();
  while (code == SQLITE_ROW)
    code = query.step();
  return check_status(code, sql);
}

bool SqliteResultStore::set_complete_from(Millis at) {
  complete_from_ = at;
  if (!run("DELETE FROM about"))
    return false;
  Query query(db_, "INSERT INTO about VALUES (?1)");
  return check_status(query.bind_double(1, at.count()).step(), "about");
}

bool SqliteResultStore::measure() {
  Query query(db_,
              "SELECT count(*), coalesce(sum(length(id) + length(body)), 0), coalesce(sum(stage >= 3), 0)"
              " FROM calls");
  if (!check_status(query.step(), "measure"))
    return false;
  size_.records = static_cast<std::size_t>(query.column_double(0));
  size_.bytes = static_cast<std::size_t>(query.column_double(1)) + kRecordBytes * size_.records;
  answered_ = static_cast<std::size_t>(query.column_double(2));
  return true;
}

bool SqliteResultStore::find(const std::string& id, std::optional<ResultRecord>& out) {
  out.reset();
  if (!is_ready())
    return false;
  Query query(db_, "SELECT stage, verdict, cooldown, body, at, address FROM calls WHERE id = ?1");
  const int code = query.bind_blob(1, id).step();
  if (!check_status(code, "find"))
    return false;
  if (code != SQLITE_ROW)
    return true;
  out.emplace();
  return read(query, 0, *out) || check_status(SQLITE_CORRUPT, "find");
}

bool SqliteResultStore::put(const std::string& id, const ResultRecord& record) {
  std::optional<ResultRecord> before;
  if (!is_writable() || !find(id, before))
    return false;
  const auto from = before ? std::optional<ResultStage>(before->stage) : std::nullopt;
  if (!may_follow(from, record.stage)) {
    counters_.add(metrics::kAnswersGuardStage);
    return false;
  }
  if (!before && idempotency::prune(size_, answered_, bounds_, record.at).full) {
    counters_.add(metrics::kAnswersStoreBound);
    return false;
  }
  Query query(db_, "INSERT OR REPLACE INTO calls VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)");
  query.bind_blob(1, id).bind_double(2, static_cast<int>(record.stage));
  query.bind_double(3, static_cast<int>(record.answer.status))
      .bind_double(4, record.answer.retry_after.count());
  query.bind_blob(5, record.answer.body).bind_double(6, record.at.count()).bind_blob(7, record.address);
  if (!check_status(query.step(), "put"))
    return false;
  counters_.add(metrics::kAnswersWritten);
  last_failure_ = sqlite::ResultKind::ok;
  if (!before) {
    ++size_.records;
    size_.bytes += kRecordBytes + id.size();
  } else {
    size_.bytes -= before->answer.body.size();
  }
  size_.bytes += record.answer.body.size();
  answered_ += (record.stage >= ResultStage::answered ? 1U : 0U);
  answered_ -= (before && before->stage >= ResultStage::answered ? 1U : 0U);
  return true;
}

// The one place where the store shrinks. What is forgotten may have run; from then on only calls that
// are younger can be shown not to have.
void SqliteResultStore::prune(Millis now) {
  if (!is_ready())
    return;
  const Pruning due = idempotency::prune(size_, answered_, bounds_, now);
  const std::string excess = std::to_string(due.excess);
  const std::string which =
      "at < ?1 OR id IN (SELECT id FROM calls WHERE stage >= 3 ORDER BY at LIMIT " + excess + ")";
  Query newest(db_, ("SELECT max(at) FROM calls WHERE " + which).c_str());
  if (!check_status(newest.bind_double(1, due.older_than.count()).step(), "prune"))
    return;
  const Millis forgotten = bounded_mark(Millis(newest.column_double(0)), now);
  if (forgotten.count() <= 0)
    return;
  if (forgotten > complete_from_ && !set_complete_from(forgotten))
    return;
  Query query(db_, ("DELETE FROM calls WHERE " + which).c_str());
  if (check_status(query.bind_double(1, due.older_than.count()).step(), "prune"))
    counters_.add(metrics::kAnswersPruned);
  measure();
}

void SqliteResultStore::for_each(const std::function<void(const std::string&, const ResultRecord&)>& see) {
  if (!is_ready())
    return;
  Query query(db_, "SELECT id, stage, verdict, cooldown, body, at, address FROM calls ORDER BY at, id");
  int code = query.step();
  for (; code == SQLITE_ROW; code = query.step()) {
    ResultRecord record;
    if (!read(query, 1, record))
      return (void)check_status(SQLITE_CORRUPT, "list");
    see(query.column_blob(0), record);
  }
  check_status(code, "list");
}

void SqliteResultStore::limit_pages(int most) {
  run(("PRAGMA max_page_count = " + std::to_string(most)).c_str());
}

}  // namespace lotusyard::idempotency
