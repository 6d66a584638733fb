#include "answers/sqlite_store.h"

#include "sqlite/query.h"

namespace lotusyard::answers {
namespace {

using sqlite::Query;

constexpr std::size_t kRecordBytes = 160;  // about what a row and its indexes take beside its texts

// Of columns stage, verdict, cooldown, body, at, address. False: no record of ours, so the file is damaged.
bool read(Query& row, int first, Record& out) {
  const int stage = static_cast<int>(row.number(first)), verdict = static_cast<int>(row.number(first + 1));
  if (stage < 1 || stage > 4 || verdict < 0 || verdict > 2) return false;
  out.stage = static_cast<Stage>(stage);
  out.answer = {static_cast<core::Verdict>(verdict), Millis(row.number(first + 2)), row.bytes(first + 3)};
  out.at = Millis(row.number(first + 4));
  out.address = row.bytes(first + 5);
  return true;
}

}  // namespace

SqliteStore::SqliteStore(const std::string& path, const Bounds& bounds, Millis now, core::Counters& counters,
                         Log log)
    : bounds_(bounds), counters_(counters), log_(std::move(log)) {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  if (!told(sqlite3_open_v2(path.c_str(), &db_, flags, nullptr), "open")) return;
  // Danger: one process takes the file's place of another that runs; both would take a call for their own.
  run("PRAGMA locking_mode = EXCLUSIVE");
  run("PRAGMA journal_mode = WAL") && run("PRAGMA synchronous = FULL") &&
      run("CREATE TABLE IF NOT EXISTS calls (id BLOB PRIMARY KEY, stage INTEGER, verdict INTEGER,"
          " cooldown REAL, body BLOB, at REAL, address BLOB) WITHOUT ROWID") &&
      run("CREATE INDEX IF NOT EXISTS calls_at ON calls (at)") &&
      run("CREATE TABLE IF NOT EXISTS about (complete_from REAL)");
  if (damaged_) return;
  Query check(db_, "PRAGMA quick_check(1)");
  if (check.step() != SQLITE_ROW || check.bytes(0) != "ok") {
    told(SQLITE_CORRUPT, "check");
    return;
  }
  Query about(db_, "SELECT complete_from FROM about");
  const int found = about.step();
  if (found == SQLITE_ROW) {
    complete_from_ = bounded_mark(Millis(about.number(0)), now);
  } else if (told(found, "about")) {
    set_complete_from(now);  // a store that is new knows nothing of what was before
  }
  measure();
}

SqliteStore::~SqliteStore() { sqlite3_close(db_); }

bool SqliteStore::told(int code, const char* what) {
  if (code == SQLITE_OK || code == SQLITE_ROW || code == SQLITE_DONE) return true;
  const bool full = code == SQLITE_FULL || code == SQLITE_IOERR;
  counters_.add(full ? "answers.store_full" : "answers.store_damaged");
  // A full disk may empty itself; what cannot be understood will not mend.
  if (!full && !damaged_) damaged_ = true;
  if (!full || !full_) log_(std::string("answers: ") + what + ": " + sqlite3_errstr(code));
  full_ = full;
  return false;
}

bool SqliteStore::run(const char* sql) {
  if (!healthy()) return false;
  Query query(db_, sql);
  int code = query.step();
  while (code == SQLITE_ROW) code = query.step();
  return told(code, sql);
}

bool SqliteStore::set_complete_from(Millis at) {
  complete_from_ = at;
  if (!run("DELETE FROM about")) return false;
  Query query(db_, "INSERT INTO about VALUES (?1)");
  return told(query.number(1, at.count()).step(), "about");
}

void SqliteStore::measure() {
  Query query(db_,
              "SELECT count(*), coalesce(sum(length(id) + length(body)), 0), coalesce(sum(stage >= 3), 0)"
              " FROM calls");
  if (!told(query.step(), "measure")) return;
  size_.records = static_cast<std::size_t>(query.number(0));
  size_.bytes = static_cast<std::size_t>(query.number(1)) + kRecordBytes * size_.records;
  answered_ = static_cast<std::size_t>(query.number(2));
}

bool SqliteStore::find(const std::string& id, std::optional<Record>& out) {
  out.reset();
  if (!healthy()) return false;
  Query query(db_, "SELECT stage, verdict, cooldown, body, at, address FROM calls WHERE id = ?1");
  const int code = query.bytes(1, id).step();
  if (!told(code, "find")) return false;
  if (code != SQLITE_ROW) return true;
  out.emplace();
  return read(query, 0, *out) || told(SQLITE_CORRUPT, "find");
}

bool SqliteStore::put(const std::string& id, const Record& record) {
  std::optional<Record> before;
  if (!find(id, before)) return false;
  const auto from = before ? std::optional<Stage>(before->stage) : std::nullopt;
  if (!may_follow(from, record.stage)) {
    counters_.add("answers.guard_stage");
    return false;
  }
  if (!before && answers::prune(size_, answered_, bounds_, record.at).full) {
    counters_.add("answers.store_bound");
    return false;
  }
  Query query(db_, "INSERT OR REPLACE INTO calls VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)");
  query.bytes(1, id).number(2, static_cast<int>(record.stage));
  query.number(3, static_cast<int>(record.answer.verdict)).number(4, record.answer.cooldown.count());
  query.bytes(5, record.answer.body).number(6, record.at.count()).bytes(7, record.address);
  if (!told(query.step(), "put")) return false;
  counters_.add("answers.written");
  if (!before) {
    ++size_.records;
    size_.bytes += kRecordBytes + id.size();
  } else {
    size_.bytes -= before->answer.body.size();
  }
  size_.bytes += record.answer.body.size();
  answered_ += (record.stage >= Stage::answered ? 1U : 0U);
  answered_ -= (before && before->stage >= Stage::answered ? 1U : 0U);
  return true;
}

// The one place where the store shrinks. Danger: what is forgotten may have run; from then on only calls that
// are younger can be shown not to have.
void SqliteStore::prune(Millis now) {
  if (!healthy()) return;
  const Pruning due = answers::prune(size_, answered_, bounds_, now);
  const std::string excess = std::to_string(due.excess);
  const std::string which =
      "at < ?1 OR id IN (SELECT id FROM calls WHERE stage >= 3 ORDER BY at LIMIT " + excess + ")";
  Query newest(db_, ("SELECT max(at) FROM calls WHERE " + which).c_str());
  if (!told(newest.number(1, due.older_than.count()).step(), "prune")) return;
  const Millis forgotten = bounded_mark(Millis(newest.number(0)), now);
  if (forgotten.count() <= 0) return;
  if (forgotten > complete_from_ && !set_complete_from(forgotten)) return;
  Query query(db_, ("DELETE FROM calls WHERE " + which).c_str());
  if (told(query.number(1, due.older_than.count()).step(), "prune")) counters_.add("answers.pruned");
  measure();
}

void SqliteStore::each(const std::function<void(const std::string&, const Record&)>& see) {
  if (!healthy()) return;
  Query query(db_, "SELECT id, stage, verdict, cooldown, body, at, address FROM calls ORDER BY at, id");
  int code = query.step();
  for (; code == SQLITE_ROW; code = query.step()) {
    Record record;
    if (!read(query, 1, record)) return (void)told(SQLITE_CORRUPT, "list");
    see(query.bytes(0), record);
  }
  told(code, "list");
}

void SqliteStore::limit_pages(int most) { run(("PRAGMA max_page_count = " + std::to_string(most)).c_str()); }

}  // namespace lotusyard::answers
