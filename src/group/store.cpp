#include "group/store.h"

#include <sqlite3.h>

#include <nlohmann/json.hpp>

namespace lotusyard::group {
namespace {

constexpr int kFormat = 1;  // of the file's tables

}  // namespace

// One prepared statement, from its making to its end.
struct Store::Statement {
  sqlite3_stmt* made = nullptr;
  sqlite3* db;
  Statement(sqlite3* of, const char* sql) : db(of) {
    if (sqlite3_prepare_v2(db, sql, -1, &made, nullptr) != SQLITE_OK) fail();
  }
  ~Statement() { sqlite3_finalize(made); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  [[noreturn]] void fail() const {
    throw StoreError(std::string("the group's store: ") + sqlite3_errmsg(db));
  }
  Statement& number(int at, std::uint64_t value) {
    sqlite3_bind_int64(made, at, static_cast<sqlite3_int64>(value));
    return *this;
  }
  Statement& bytes(int at, const std::string& value) {
    sqlite3_bind_blob(made, at, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
    return *this;
  }
  bool step() const {
    const int got = sqlite3_step(made);
    if (got != SQLITE_ROW && got != SQLITE_DONE) fail();
    return got == SQLITE_ROW;
  }
  void again() const {
    sqlite3_reset(made);
    sqlite3_clear_bindings(made);
  }
  std::uint64_t number_at(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(made, column));
  }
  std::string bytes_at(int column) const {
    const void* data = sqlite3_column_blob(made, column);
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(made, column));
    return data == nullptr ? std::string() : std::string(static_cast<const char*>(data), size);
  }
};

Store::Store(const std::string& path) {
  if (sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) != SQLITE_OK) {
    const std::string why = sqlite3_errmsg(db_);
    sqlite3_close(db_);
    throw StoreError("the group's store: " + path + ": " + why);
  }
  try {
    // Held for as long as this lives: two processes with one store would vote twice.
    run("PRAGMA locking_mode=EXCLUSIVE");
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    run("BEGIN IMMEDIATE");
    run("CREATE TABLE IF NOT EXISTS facts (key TEXT PRIMARY KEY, value BLOB)");
    run("CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB)");
    run("COMMIT");
    if (!get("format").empty() && get_number("format") != kFormat)
      throw StoreError("the group's store: " + path + ": of another version of the program");
    const Statement check(db_, "PRAGMA quick_check(1)");
    if (!check.step() || check.bytes_at(0) != "ok")
      throw StoreError("the group's store: " + path + ": damaged");
    term_ = get_number("term");
    vote_ = get_number("vote");
    read_range();
  } catch (const std::exception&) {
    sqlite3_close_v2(db_);
    throw;
  }
}

Store::~Store() { sqlite3_close_v2(db_); }

void Store::run(const char* sql) {
  const Statement statement(db_, sql);
  while (statement.step()) {}
}

void Store::set(const char* key, const std::string& value) {
  Statement statement(db_, "INSERT OR REPLACE INTO facts VALUES (?1, ?2)");
  sqlite3_bind_text(statement.made, 1, key, -1, SQLITE_TRANSIENT);
  statement.bytes(2, value).step();
}

std::string Store::get(const char* key) const {
  Statement statement(db_, "SELECT value FROM facts WHERE key = ?1");
  sqlite3_bind_text(statement.made, 1, key, -1, SQLITE_TRANSIENT);
  return statement.step() ? statement.bytes_at(0) : std::string();
}

std::uint64_t Store::get_number(const char* key) const {
  const std::string text = get(key);
  if (text.empty()) return 0;
  if (text.size() > 20 || text.find_first_not_of("0123456789") != std::string::npos)
    throw StoreError(std::string("the group's store: damaged: ") + key);
  return std::stoull(text);
}

template <typename Body>
void Store::whole(const Body& body) {
  run("BEGIN IMMEDIATE");
  try {
    body();
    run("COMMIT");
  } catch (const StoreError&) {
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

void Store::read_range() {
  const Statement statement(db_, "SELECT min(idx), max(idx), count(*) FROM log");
  statement.step();
  const std::uint64_t count = statement.number_at(2);
  const std::uint64_t covered = has_snapshot() ? snapshot().index : 0;
  first_ = count == 0 ? covered + 1 : statement.number_at(0);
  last_ = count == 0 ? covered : statement.number_at(1);
  if (count != last_ + 1 - first_ || first_ > covered + 1)
    throw StoreError("the group's store: damaged: its log has a gap");
}

bool Store::fresh() const { return get("member").empty(); }

Identity Store::identity() const {
  return {get("cluster"), get("member"), get_number("id"), get_number("life")};
}

void Store::begin(const Identity& identity) {
  whole([&] {
    set("format", std::to_string(kFormat));
    set("cluster", identity.cluster);
    set("member", identity.member);
    set("id", std::to_string(identity.id));
    set("life", std::to_string(identity.life));
  });
}

std::uint64_t Store::next_life() {
  const std::uint64_t life = get_number("life") + 1;
  whole([&] { set("life", std::to_string(life)); });
  return life;
}

void Store::set_term(std::uint64_t term) {
  whole([&] {
    set("term", std::to_string(term));
    set("vote", "0");
  });
  term_ = term;
  vote_ = 0;
}

void Store::set_vote(std::uint64_t id) {
  whole([&] { set("vote", std::to_string(id)); });
  vote_ = id;
}

std::vector<StoredEntry> Store::entries() const {
  std::vector<StoredEntry> out;
  const Statement statement(db_, "SELECT term, type, data FROM log ORDER BY idx");
  while (statement.step()) {
    out.push_back(
        {statement.number_at(0), static_cast<unsigned short>(statement.number_at(1)), statement.bytes_at(2)});
  }
  return out;
}

void Store::append(const std::vector<StoredEntry>& entries) {
  std::uint64_t at = last_;
  whole([&] {
    Statement statement(db_, "INSERT INTO log VALUES (?1, ?2, ?3, ?4)");
    for (const auto& entry : entries) {
      statement.number(1, ++at).number(2, entry.term).number(3, entry.type).bytes(4, entry.data).step();
      statement.again();
    }
  });
  last_ = at;
}

void Store::truncate(std::uint64_t index) {
  whole([&] { Statement(db_, "DELETE FROM log WHERE idx >= ?1").number(1, index).step(); });
  read_range();
}

void Store::put_snapshot(const StoredSnapshot& from, std::uint64_t trailing) {
  nlohmann::json servers = nlohmann::json::array();
  for (const auto& s : from.servers) servers.push_back({s.id, s.address, s.role});
  const nlohmann::json head = {
      {"index", from.index}, {"term", from.term}, {"conf_index", from.conf_index}, {"servers", servers}};
  const std::uint64_t keep_from = from.index > trailing ? from.index - trailing + 1 : 1;
  whole([&] {
    set("snapshot", head.dump());
    set("snapshot_data", from.data);
    if (trailing == 0)
      Statement(db_, "DELETE FROM log").step();
    else
      Statement(db_, "DELETE FROM log WHERE idx < ?1").number(1, keep_from).step();
  });
  read_range();
}

bool Store::has_snapshot() const { return !get("snapshot").empty(); }

StoredSnapshot Store::snapshot() const {
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
  } catch (const nlohmann::json::exception&) { throw StoreError("the group's store: damaged: snapshot"); }
  out.data = get("snapshot_data");
  return out;
}

std::size_t Store::bytes() const {
  const Statement pages(db_, "PRAGMA page_count"), size(db_, "PRAGMA page_size");
  pages.step();
  size.step();
  return static_cast<std::size_t>(pages.number_at(0) * size.number_at(0));
}

}  // namespace lotusyard::group
