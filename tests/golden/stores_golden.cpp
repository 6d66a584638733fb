// The SQLite files of the stores: their tables and rows as SQL, and files created from that SQL as the stores
// read them.
#include <sqlite3.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>

#include "golden/golden_file.h"
#include "idempotency/sqlite_result_store.h"
#include "raft/log_store.h"
#include "sqlite/query.h"

namespace lotusyard::golden {
namespace {

using core::Millis;
using idempotency::ResultRecord;
using idempotency::ResultStage;
using sqlite::Query;

// A file that is removed with the object. Its name is unique to the process and the object.
class TemporaryFile {
 public:
  TemporaryFile()
      : path_("golden-store-" + std::to_string(getpid()) + "-" + std::to_string(++last_) + ".db") {
    remove();
  }
  ~TemporaryFile() { remove(); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  static int last_;
  std::string path_;
  void remove() const {
    for (const char* suffix : {"", "-wal", "-shm", "-journal"})
      std::remove((path_ + suffix).c_str());
  }
};
int TemporaryFile::last_ = 0;

class Database {
 public:
  explicit Database(const std::string& path) { REQUIRE(sqlite3_open(path.c_str(), &db_) == SQLITE_OK); }
  ~Database() { sqlite3_close(db_); }
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  void execute(const std::string& sql) {
    REQUIRE(sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK);
  }
  // The schema and all rows as SQL, one statement per line.
  std::string dump() {
    std::string out;
    for (const auto& sql : column("SELECT sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name"))
      out += sql + ";\n";
    for (const auto& table : column("SELECT name FROM sqlite_master WHERE type = 'table' ORDER BY name")) {
      for (const auto& values : column("SELECT " + quoted_columns(table) + " FROM " + table + " ORDER BY 1"))
        out += "INSERT INTO " + table + " VALUES(" + values + ");\n";
    }
    return out;
  }

 private:
  sqlite3* db_ = nullptr;

  std::vector<std::string> column(const std::string& sql) {
    std::vector<std::string> out;
    Query query(db_, sql.c_str());
    int code = query.step();
    for (; code == SQLITE_ROW; code = query.step())
      out.push_back(query.column_blob(0));
    REQUIRE(code == SQLITE_DONE);
    return out;
  }
  std::string quoted_columns(const std::string& table) {
    std::string out;
    for (const auto& name : column("SELECT name FROM pragma_table_info('" + table + "') ORDER BY cid"))
      out += (out.empty() ? "quote(" : " || ',' || quote(") + name + ")";
    return out;
  }
};

std::string dump_of(const TemporaryFile& file) { return Database(file.path()).dump(); }

void fill_log_store(raft::LogStore& store) {
  store.initialize({"yard-1", "member-1", 1ULL << 60, 7});
  store.set_term(4);
  store.set_vote(2);
  store.append({{1, 3, std::string("\0\xff", 2)}, {3, 1, "works\n{\"t\":\"ask\"}"}, {4, 2, ""}});
  store.put_snapshot({3, 4, 1, {{1, "127.0.0.1:7200", 1}, {2, "127.0.0.1:7201", 0}}, "{\"parts\":{}}"}, 0);
  store.append({{4, 1, "quota\n{}"}, {4, 2, ""}});
}

std::string log_store() {
  const TemporaryFile file;
  {
    raft::LogStore store(file.path());
    fill_log_store(store);
  }
  return dump_of(file);
}

void copy_log_store(const raft::LogStore& from, raft::LogStore& to) {
  to.initialize(from.identity());
  to.set_term(from.term());
  to.set_vote(from.vote());
  if (from.has_snapshot())
    to.put_snapshot(from.snapshot(), 0);
  to.append(from.entries());
}

std::string reencode_log_store(const std::string& sql) {
  const TemporaryFile stored, copied;
  Database(stored.path()).execute(sql);
  {
    const raft::LogStore from(stored.path());
    raft::LogStore to(copied.path());
    copy_log_store(from, to);
  }
  return dump_of(copied);
}

ResultRecord record(ResultStage stage, core::CallStatus status, const std::string& body) {
  ResultRecord out;
  out.stage = stage;
  out.answer = {status, Millis(status == core::CallStatus::rejected ? 250.5 : 0), body};
  out.updated_at = Millis(1700000000000.25 + static_cast<int>(stage));
  if (stage == ResultStage::confirmed)
    out.address = "answers";
  return out;
}

// Stores the stages that must precede the record's stage first.
void put(idempotency::SqliteResultStore& store, const std::string& id, const ResultRecord& last) {
  for (const ResultStage stage : {ResultStage::sent, ResultStage::answered}) {
    if (stage >= last.stage)
      break;
    ResultRecord before = last;
    before.stage = stage;
    before.address.clear();
    REQUIRE(store.put(id, before));
  }
  REQUIRE(store.put(id, last));
}

std::string result_store() {
  const TemporaryFile file;
  metrics::Counters counters;
  {
    idempotency::SqliteResultStore store(file.path(), {}, Millis(1690000000000.5), counters,
                                         [](const auto&) {});
    put(store, "sent", record(ResultStage::sent, core::CallStatus::failed, ""));
    put(store, "cleared", record(ResultStage::cleared, core::CallStatus::failed, ""));
    put(store, "answered",
        record(ResultStage::answered, core::CallStatus::succeeded, std::string("\0\xff", 2)));
    put(store, "refused", record(ResultStage::answered, core::CallStatus::rejected, ""));
    put(store, std::string("confirmed\0\xff", 11),
        record(ResultStage::confirmed, core::CallStatus::succeeded, "body"));
  }
  return dump_of(file);
}

std::string reencode_result_store(const std::string& sql) {
  const TemporaryFile stored, copied;
  Database(stored.path()).execute(sql);
  metrics::Counters counters;
  {
    idempotency::SqliteResultStore from(stored.path(), {}, Millis(1690000000000.5), counters,
                                        [](const auto&) {});
    idempotency::SqliteResultStore to(copied.path(), {}, from.complete_from(), counters, [](const auto&) {});
    from.for_each([&to](const std::string& id, const ResultRecord& one) { put(to, id, one); });
  }
  return dump_of(copied);
}

}  // namespace

GoldenFile stores_golden() {
  return {"stores",
          {{"log store", log_store(), reencode_log_store},
           {"result store", result_store(), reencode_result_store}}};
}

}  // namespace lotusyard::golden
