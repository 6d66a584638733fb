#include "raft/log_store.h"

#include <utility>

#include "raft/snapshot_header.h"
#include "sqlite/query.h"

namespace lotusyard::raft {
namespace {

constexpr int kFormat = 1;  // the version of the file's tables
constexpr std::size_t kMaxDigits = 20;

// Keys of the table "facts". They are stored: do not change them.
constexpr const char* kFormatKey = "format";
constexpr const char* kClusterKey = "cluster";
constexpr const char* kMemberKey = "member";
constexpr const char* kIdKey = "id";
constexpr const char* kIncarnationKey = "life";
constexpr const char* kTermKey = "term";
constexpr const char* kVoteKey = "vote";
constexpr const char* kSnapshotKey = "snapshot";
constexpr const char* kSnapshotDataKey = "snapshot_data";

LogStoreError store_error(const std::string& what, sqlite::ResultKind kind = sqlite::ResultKind::corrupt) {
  return LogStoreError("the group's store: " + what, kind);
}

}  // namespace

using sqlite::Query;

bool LogStore::step(Query& query) const {
  const int code = query.step();
  if (code != SQLITE_ROW && code != SQLITE_DONE) {
    throw store_error(std::string(sqlite3_errstr(code)) + ": " + sqlite3_errmsg(db_), sqlite::classify(code));
  }
  return code == SQLITE_ROW;
}

template <typename Body>
void LogStore::in_transaction(const Body& body) {
  // The rollback of an earlier transaction may have failed.
  if (sqlite3_get_autocommit(db_) == 0) {
    run("ROLLBACK");
  }
  run("BEGIN IMMEDIATE");
  try {
    body();
    run("COMMIT");
  } catch (const std::exception&) {
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

LogStore::LogStore(const std::string& path) {
  try {
    open(path);
    check();
    load();
  } catch (const std::exception&) {
    sqlite3_close_v2(db_);
    throw;
  }
}

void LogStore::open(const std::string& path) {
  const int code = sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  if (code != SQLITE_OK) {
    throw store_error(path + ": " + sqlite3_errmsg(db_), sqlite::classify(code));
  }
  if (sqlite3_db_readonly(db_, "main") == 1) {
    throw store_error(path + ": read-only", sqlite::ResultKind::cannot_open);
  }
  // The lock is held until the file is closed: two processes with one store could vote twice in a term.
  run("PRAGMA locking_mode=EXCLUSIVE");
  run("PRAGMA journal_mode=WAL");
  run("PRAGMA synchronous=FULL");
  in_transaction([&] {
    run("CREATE TABLE IF NOT EXISTS facts (key TEXT PRIMARY KEY, value BLOB)");
    run("CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB)");
  });
  if (!get(kFormatKey).empty() && get_number(kFormatKey) != kFormat) {
    throw store_error(path + ": of another version of the program");
  }
}

void LogStore::check() const {
  Query check(db_, "PRAGMA quick_check(1)");
  const std::string line = step(check) ? check.column_blob(0) : std::string();
  const auto kind = sqlite::classify_check(line);
  if (kind != sqlite::ResultKind::ok) {
    throw store_error("damaged: " + line, kind);
  }
}

void LogStore::load() {
  term_ = get_number(kTermKey);
  vote_ = get_number(kVoteKey);
  load_index_range();
}

void LogStore::recover() {
  // Writes the unchanged term, which fails unless the disk accepts and syncs writes.
  in_transaction([&] { set(kTermKey, std::to_string(get_number(kTermKey))); });
  load();
}

LogStore::~LogStore() { sqlite3_close_v2(db_); }

void LogStore::run(const char* sql) {
  Query query(db_, sql);
  while (step(query)) {
  }
}

void LogStore::set(const char* key, const std::string& value) {
  step(Query(db_, "INSERT OR REPLACE INTO facts VALUES (?1, ?2)").bind_text(1, key).bind_blob(2, value));
}

std::string LogStore::get(const char* key) const {
  Query query(db_, "SELECT value FROM facts WHERE key = ?1");
  return step(query.bind_text(1, key)) ? query.column_blob(0) : std::string();
}

std::uint64_t LogStore::get_number(const char* key) const {
  const std::string text = get(key);
  if (text.empty()) {
    return 0;
  }
  if (text.size() > kMaxDigits || text.find_first_not_of("0123456789") != std::string::npos) {
    throw store_error(std::string("damaged: ") + key);
  }
  return std::stoull(text);
}

void LogStore::load_index_range() {
  Query range(db_, "SELECT min(idx), max(idx), count(*) FROM log");
  step(range);
  const std::uint64_t count = range.column_integer(2);
  snapshot_index_ = has_snapshot() ? snapshot().index : 0;
  first_index_ = count == 0 ? snapshot_index_ + 1 : range.column_integer(0);
  last_index_ = count == 0 ? snapshot_index_ : range.column_integer(1);
  const bool gap_within_log = count != last_index_ + 1 - first_index_;
  const bool gap_after_snapshot = first_index_ > snapshot_index_ + 1;
  if (gap_within_log || gap_after_snapshot) {
    throw store_error("damaged: its log has a gap");
  }
}

bool LogStore::is_empty() const { return get(kMemberKey).empty(); }

Identity LogStore::identity() const {
  return {get(kClusterKey), get(kMemberKey), get_number(kIdKey), get_number(kIncarnationKey)};
}

void LogStore::initialize(const Identity& identity) {
  in_transaction([&] {
    set(kFormatKey, std::to_string(kFormat));
    set(kClusterKey, identity.cluster);
    set(kMemberKey, identity.member);
    set(kIdKey, std::to_string(identity.id));
    set(kIncarnationKey, std::to_string(identity.incarnation));
  });
}

std::uint64_t LogStore::begin_next_incarnation() {
  const std::uint64_t incarnation = get_number(kIncarnationKey) + 1;
  in_transaction([&] { set(kIncarnationKey, std::to_string(incarnation)); });
  return incarnation;
}

void LogStore::set_term(std::uint64_t term) {
  in_transaction([&] {
    set(kTermKey, std::to_string(term));
    set(kVoteKey, "0");
  });
  term_ = term;
  vote_ = 0;
}

void LogStore::set_vote(std::uint64_t id) {
  in_transaction([&] { set(kVoteKey, std::to_string(id)); });
  vote_ = id;
}

std::vector<StoredEntry> LogStore::entries() const {
  std::vector<StoredEntry> out;
  Query row(db_, "SELECT term, type, data FROM log ORDER BY idx");
  while (step(row)) {
    const auto type = static_cast<unsigned short>(row.column_integer(1));
    out.push_back({row.column_integer(0), type, row.column_blob(2)});
  }
  return out;
}

void LogStore::append(const std::vector<StoredEntry>& entries) {
  std::uint64_t index = last_index_;
  in_transaction([&] {
    Query row(db_, "INSERT INTO log VALUES (?1, ?2, ?3, ?4)");
    for (const auto& entry : entries) {
      row.bind_integer(1, ++index).bind_integer(2, entry.term);
      row.bind_integer(3, entry.type).bind_blob(4, entry.data);
      step(row);
      row.reset();
    }
  });
  last_index_ = index;
}

void LogStore::truncate(std::uint64_t index) {
  in_transaction([&] { step(Query(db_, "DELETE FROM log WHERE idx >= ?1").bind_integer(1, index)); });
  load_index_range();
}

void LogStore::put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) {
  const std::uint64_t first_kept = snapshot.index > trailing ? snapshot.index - trailing + 1 : 1;
  in_transaction([&] {
    set(kSnapshotKey, encode_snapshot_header(snapshot));
    set(kSnapshotDataKey, snapshot.data);
    if (trailing == 0) {
      run("DELETE FROM log");
    } else {
      step(Query(db_, "DELETE FROM log WHERE idx < ?1").bind_integer(1, first_kept));
    }
  });
  load_index_range();
}

bool LogStore::has_snapshot() const { return !get(kSnapshotKey).empty(); }

StoredSnapshot LogStore::snapshot() const {
  auto snapshot = decode_snapshot_header(get(kSnapshotKey));
  if (!snapshot) {
    throw store_error("damaged: snapshot");
  }
  snapshot->data = get(kSnapshotDataKey);
  return *std::move(snapshot);
}

std::size_t LogStore::size_bytes() const {
  Query page_count(db_, "PRAGMA page_count");
  Query page_size(db_, "PRAGMA page_size");
  step(page_count);
  step(page_size);
  return static_cast<std::size_t>(page_count.column_integer(0) * page_size.column_integer(0));
}

}  // namespace lotusyard::raft
