#include "raft/log_store.h"

#include <nlohmann/json.hpp>

#include "sqlite/query.h"

namespace lotusyard::raft {
namespace {

constexpr int kFormat = 1;  // of the file's tables

}  // namespace

using sqlite::Query;

bool LogStore::step(Query& query) const {
  const int got = query.step();
  if (got != SQLITE_ROW && got != SQLITE_DONE)
    throw LogStoreError(std::string("the group's store: ") + sqlite3_errstr(got) + ": " + sqlite3_errmsg(db_),
                        sqlite::classify(got));
  return got == SQLITE_ROW;
}

template <typename Body>
void LogStore::in_transaction(const Body& body) {
  // A rollback can fail, too.
  if (sqlite3_get_autocommit(db_) == 0) run("ROLLBACK");
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
  if (code != SQLITE_OK)
    throw LogStoreError("the group's store: " + path + ": " + sqlite3_errmsg(db_), sqlite::classify(code));
  if (sqlite3_db_readonly(db_, "main") == 1)
    throw LogStoreError("the group's store: " + path + ": read-only", sqlite::ResultKind::cannot_open);
  // Held for as long as this lives: two processes with one store would vote twice.
  run("PRAGMA locking_mode=EXCLUSIVE");
  run("PRAGMA journal_mode=WAL");
  run("PRAGMA synchronous=FULL");
  in_transaction([&] {
    run("CREATE TABLE IF NOT EXISTS facts (key TEXT PRIMARY KEY, value BLOB)");
    run("CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB)");
  });
  if (!get("format").empty() && get_number("format") != kFormat)
    throw LogStoreError("the group's store: " + path + ": of another version of the program");
}

void LogStore::check() const {
  Query check(db_, "PRAGMA quick_check(1)");
  const std::string line = step(check) ? check.bytes(0) : std::string();
  const auto kind = sqlite::classify_check(line);
  if (kind != sqlite::ResultKind::ok) throw LogStoreError("the group's store: damaged: " + line, kind);
}

void LogStore::load() {
  term_ = get_number("term");
  vote_ = get_number("vote");
  load_index_range();
}

void LogStore::recover() {
  in_transaction(
      [&] { set("term", std::to_string(get_number("term"))); });  // as it is, but written and synced
  load();
}

LogStore::~LogStore() { sqlite3_close_v2(db_); }

void LogStore::run(const char* sql) {
  Query query(db_, sql);
  while (step(query)) {}
}

void LogStore::set(const char* key, const std::string& value) {
  step(Query(db_, "INSERT OR REPLACE INTO facts VALUES (?1, ?2)").word(1, key).bytes(2, value));
}

std::string LogStore::get(const char* key) const {
  Query query(db_, "SELECT value FROM facts WHERE key = ?1");
  return step(query.word(1, key)) ? query.bytes(0) : std::string();
}

std::uint64_t LogStore::get_number(const char* key) const {
  const std::string text = get(key);
  if (text.empty()) return 0;
  if (text.size() > 20 || text.find_first_not_of("0123456789") != std::string::npos)
    throw LogStoreError(std::string("the group's store: damaged: ") + key);
  return std::stoull(text);
}

void LogStore::load_index_range() {
  Query range(db_, "SELECT min(idx), max(idx), count(*) FROM log");
  step(range);
  const std::uint64_t count = range.whole(2);
  const std::uint64_t covered = has_snapshot() ? snapshot().index : 0;
  covered_ = covered;
  first_ = count == 0 ? covered + 1 : range.whole(0);
  last_ = count == 0 ? covered : range.whole(1);
  if (count != last_ + 1 - first_ || first_ > covered + 1)
    throw LogStoreError("the group's store: damaged: its log has a gap");
}

bool LogStore::is_empty() const { return get("member").empty(); }

Identity LogStore::identity() const {
  return {get("cluster"), get("member"), get_number("id"), get_number("life")};
}

void LogStore::initialize(const Identity& identity) {
  in_transaction([&] {
    set("format", std::to_string(kFormat));
    set("cluster", identity.cluster);
    set("member", identity.member);
    set("id", std::to_string(identity.id));
    set("life", std::to_string(identity.incarnation));
  });
}

std::uint64_t LogStore::begin_next_incarnation() {
  const std::uint64_t life = get_number("life") + 1;
  in_transaction([&] { set("life", std::to_string(life)); });
  return life;
}

void LogStore::set_term(std::uint64_t term) {
  in_transaction([&] {
    set("term", std::to_string(term));
    set("vote", "0");
  });
  term_ = term;
  vote_ = 0;
}

void LogStore::set_vote(std::uint64_t id) {
  in_transaction([&] { set("vote", std::to_string(id)); });
  vote_ = id;
}

std::vector<StoredEntry> LogStore::entries() const {
  std::vector<StoredEntry> out;
  Query row(db_, "SELECT term, type, data FROM log ORDER BY idx");
  while (step(row)) out.push_back({row.whole(0), static_cast<unsigned short>(row.whole(1)), row.bytes(2)});
  return out;
}

void LogStore::append(const std::vector<StoredEntry>& entries) {
  std::uint64_t at = last_;
  in_transaction([&] {
    Query row(db_, "INSERT INTO log VALUES (?1, ?2, ?3, ?4)");
    for (const auto& entry : entries) {
      step(row.whole(1, ++at).whole(2, entry.term).whole(3, entry.type).bytes(4, entry.data));
      row.again();
    }
  });
  last_ = at;
}

void LogStore::truncate(std::uint64_t index) {
  in_transaction([&] { step(Query(db_, "DELETE FROM log WHERE idx >= ?1").whole(1, index)); });
  load_index_range();
}

void LogStore::put_snapshot(const StoredSnapshot& from, std::uint64_t trailing) {
  nlohmann::json servers = nlohmann::json::array();
  for (const auto& s : from.servers) servers.push_back({s.id, s.address, s.role});
  const nlohmann::json head = {
      {"index", from.index}, {"term", from.term}, {"conf_index", from.conf_index}, {"servers", servers}};
  const std::uint64_t keep_from = from.index > trailing ? from.index - trailing + 1 : 1;
  in_transaction([&] {
    set("snapshot", head.dump());
    set("snapshot_data", from.data);
    if (trailing == 0)
      run("DELETE FROM log");
    else
      step(Query(db_, "DELETE FROM log WHERE idx < ?1").whole(1, keep_from));
  });
  load_index_range();
}

bool LogStore::has_snapshot() const { return !get("snapshot").empty(); }

StoredSnapshot LogStore::snapshot() const {
  StoredSnapshot out;
  try {
    const auto head = nlohmann::json::parse(get("snapshot"));
    out.index = head.at("index").get<std::uint64_t>();
    out.term = head.at("term").get<std::uint64_t>();
    out.conf_index = head.at("conf_index").get<std::uint64_t>();
    for (const auto& row : head.at("servers")) {
      out.servers.push_back(
          {row.at(0).get<std::uint64_t>(), row.at(1).get<std::string>(), row.at(2).get<int>()});
    }
  } catch (const nlohmann::json::exception&) { throw LogStoreError("the group's store: damaged: snapshot"); }
  out.data = get("snapshot_data");
  return out;
}

std::size_t LogStore::size_bytes() const {
  Query pages(db_, "PRAGMA page_count"), size(db_, "PRAGMA page_size");
  step(pages);
  step(size);
  return static_cast<std::size_t>(pages.whole(0) * size.whole(0));
}

}  // namespace lotusyard::raft
