// What a member has promised to its group, durable before the promise leaves the process: term, vote, log,
// snapshot, and who it is. One SQLite file, held by one process at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "sqlite/result.h"

struct sqlite3;
namespace lotusyard::sqlite {
class Query;
}

namespace lotusyard::raft {

// Final unless `transient`: then the disk or the machine failed, nothing shows that the file is damaged, and
// the same may succeed later.
struct LogStoreError : std::runtime_error {
  explicit LogStoreError(const std::string& what, sqlite::ResultKind result = sqlite::ResultKind::corrupt)
      : std::runtime_error(what), kind(result) {}
  bool transient() const { return sqlite::is_transient(kind); }
  const sqlite::ResultKind kind;
};

struct Identity {
  std::string cluster, member;
  std::uint64_t id = 0;           // in the group; another one for each store that a member begins
  std::uint64_t incarnation = 0;  // grows with each start
};
struct StoredEntry {
  std::uint64_t term = 0;
  unsigned short type = 0;
  std::string data;
};
struct StoredServer {
  std::uint64_t id = 0;
  std::string address;
  int role = 0;
};
struct StoredSnapshot {
  std::uint64_t index = 0, term = 0, conf_index = 0;
  std::vector<StoredServer> servers;
  std::string data;
};

class LogStore {
 public:
  // Throws StoreError: it cannot be opened, another process holds it, or it is damaged.
  explicit LogStore(const std::string& path);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  bool is_empty() const;  // it holds no identity yet
  Identity identity() const;
  void initialize(const Identity& identity);  // of a fresh store
  std::uint64_t begin_next_incarnation();     // kept before it is told
  // After a failed write: shows that the disk takes writes again, and reads anew what this object holds in
  // memory. Throws StoreError.
  void recover();

  // The writers below throw StoreError if what they were given is not durable; nothing of it is kept then.
  std::uint64_t term() const { return term_; }
  std::uint64_t vote() const { return vote_; }
  void set_term(std::uint64_t term);  // the vote of another term is void
  void set_vote(std::uint64_t id);
  std::uint64_t first_index() const { return first_; }
  std::vector<StoredEntry> entries() const;
  void append(const std::vector<StoredEntry>& entries);  // behind the last
  void truncate(std::uint64_t index);                    // this one and all behind it go
  // Entries that it stands for go but for `trailing`; 0: the whole log goes.
  void put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing);
  bool has_snapshot() const;
  std::uint64_t snapshot_index() const { return covered_; }  // 0: none
  StoredSnapshot snapshot() const;
  std::size_t size_bytes() const;  // of the file

 private:
  sqlite3* db_ = nullptr;
  std::uint64_t term_ = 0, vote_ = 0, first_ = 1, last_ = 0, covered_ = 0;

  void open(const std::string& path);
  void check() const;
  void load();
  bool step(sqlite::Query& query) const;  // whether it gave a row; throws
  void run(const char* sql);
  void set(const char* key, const std::string& value);
  std::string get(const char* key) const;
  std::uint64_t get_number(const char* key) const;
  template <typename Body>
  void in_transaction(const Body& body);  // all of it or nothing
  void load_index_range();
};

}  // namespace lotusyard::raft
