// Durable storage of a raft replica: identity, term, vote, log and snapshot. Every write is durable before it
// returns, so that no message can promise what a crash would undo. The store is one SQLite file, which only
// one process may open at a time.
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

// A failure of the store. If it is transient, the disk or the machine failed, nothing shows that the file is
// corrupt, and a retry may succeed. Otherwise it is permanent.
struct LogStoreError : std::runtime_error {
  explicit LogStoreError(const std::string& what, sqlite::ResultKind result = sqlite::ResultKind::corrupt)
      : std::runtime_error(what), kind(result) {}
  bool transient() const { return sqlite::is_transient(kind); }
  const sqlite::ResultKind kind;
};

// Who a replica is.
struct Identity {
  std::string cluster;            // the name of the group
  std::string member;             // the name of the member
  std::uint64_t id = 0;           // the raft id; a member that starts with a new store gets a new one
  std::uint64_t incarnation = 0;  // grows with each start of the process
};

// An entry of the log; `type` is one of libraft's raft_entry types.
struct StoredEntry {
  std::uint64_t term = 0;
  unsigned short type = 0;
  std::string data;
};

// A server of the raft configuration; `role` is one of libraft's roles.
struct StoredServer {
  std::uint64_t id = 0;
  std::string address;
  int role = 0;
};

// A snapshot of the state machines.
struct StoredSnapshot {
  std::uint64_t index = 0;       // the last entry that it covers
  std::uint64_t term = 0;        // of that entry
  std::uint64_t conf_index = 0;  // the entry that set the configuration `servers`
  std::vector<StoredServer> servers;
  std::string data;
};

// All members that access the file throw LogStoreError. Not thread-safe.
class LogStore {
 public:
  // Opens or creates the file. Throws if it cannot be opened, if another process holds it or if it is
  // corrupt.
  explicit LogStore(const std::string& path);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  // Whether the store has no identity yet.
  bool is_empty() const;
  Identity identity() const;
  // Writes the identity.
  void initialize(const Identity& identity);
  // Increments the stored incarnation and returns it.
  std::uint64_t begin_next_incarnation();
  // To be called after a failed write. Verifies with a write that the disk works again, and reloads the
  // values that this object caches.
  void recover();

  std::uint64_t term() const { return term_; }
  std::uint64_t vote() const { return vote_; }
  // If a write throws, nothing of the change is stored. set_term() also clears the vote, which belonged
  // to another term.
  void set_term(std::uint64_t term);
  void set_vote(std::uint64_t id);
  std::uint64_t first_index() const { return first_index_; }
  std::vector<StoredEntry> entries() const;
  // Appends after the last entry.
  void append(const std::vector<StoredEntry>& entries);
  // Deletes the entry at `index` and all after it.
  void truncate(std::uint64_t index);
  // Stores the snapshot and deletes the entries that it covers except for the last `trailing`. If `trailing`
  // is 0, the entire log is deleted.
  void put_snapshot(const StoredSnapshot& snapshot, std::uint64_t trailing);
  bool has_snapshot() const;
  // The last index that the snapshot covers; 0: there is no snapshot.
  std::uint64_t snapshot_index() const { return snapshot_index_; }
  StoredSnapshot snapshot() const;
  // The size of the file in bytes.
  std::size_t size_bytes() const;

 private:
  sqlite3* db_ = nullptr;
  // Cached values of the file.
  std::uint64_t term_ = 0;
  std::uint64_t vote_ = 0;
  std::uint64_t first_index_ = 1;
  std::uint64_t last_index_ = 0;
  std::uint64_t snapshot_index_ = 0;

  void open(const std::string& path);
  void check() const;
  void load();
  // Returns whether there is a row; throws on an error.
  bool step(sqlite::Query& query) const;
  void run(const char* sql);
  void set(const char* key, const std::string& value);
  std::string get(const char* key) const;
  std::uint64_t get_number(const char* key) const;
  // Runs `body` in a transaction, which is rolled back if it throws.
  template <typename Body>
  void in_transaction(const Body& body);
  void load_index_range();
};

}  // namespace lotusyard::raft
