// An in-memory VFS for SQLite whose disks inject faults: a full disk, I/O errors, syncs that fail or are
// ignored, and a crash at a chosen write or sync. Deterministic: every random choice comes from the disk's
// seed.
#pragma once

#include <sqlite3.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lotusyard::test {

// After a killed process everything written survives; after a power loss only what was synced certainly does.
enum class Crash { process_killed, power_lost };

struct FaultRates {  // probabilities for each call, in thousandths
  unsigned full = 0, write_error = 0, sync_error = 0, read_error = 0, open_error = 0, no_memory = 0;
};

// Each kind of fault is enabled with probability 1/2, at a random rate.
inline FaultRates random_rates(std::mt19937_64& random) {
  FaultRates rates;
  for (unsigned* rate : {&rates.full, &rates.write_error, &rates.sync_error, &rates.read_error,
                         &rates.open_error, &rates.no_memory})
    *rate = random() % 2 == 0 ? 0 : static_cast<unsigned>(random() % 150);
  return rates;
}

class FaultDisk {
 public:
  explicit FaultDisk(std::uint64_t seed = 1) : random_(seed) {}

  FaultRates rates;
  bool is_read_only = false;   // files are opened for reading only
  bool is_full = false;        // no file can grow
  bool ignores_syncs = false;  // injected fault: sync reports success and does nothing
  std::uint64_t crash_at = 0;  // number of the write, truncate, sync or delete that crashes; 0: none
  Crash crash_kind = Crash::process_killed;

  std::uint64_t changes() const { return changes_; }
  bool crashed() const { return crashed_; }
  void crash() { crashed_ = true; }
  // Makes the disk usable after a crash, once all files are closed. After a power loss, data that was not
  // synced may be lost.
  void restart();
  bool has_open_files() const;

 private:
  friend class FaultVfs;
  friend struct FaultFile;
  struct Change {
    std::size_t offset = 0;
    std::string data;
    bool truncates = false;
  };
  struct Content {
    std::string bytes, durable;
    std::vector<Change> unsynced;
    std::set<const void*> shared;  // the holders of each lock
    const void* reserved = nullptr;
    bool is_exclusive = false;
    int open = 0;
  };
  std::map<std::string, std::shared_ptr<Content>> files_;
  std::mt19937_64 random_;
  std::uint64_t changes_ = 0;
  bool crashed_ = false;

  bool happens(unsigned rate) { return rate > 0 && random_() % 1000 < rate; }
  bool crashes_now() { return crashed_ || ++changes_ == crash_at; }
  int write(Content& file, std::size_t offset, const std::string& data);
  int truncate(Content& file, std::size_t size);
  int sync(Content& file);
  int remove(const std::string& name);
  static void apply(std::string& bytes, const Change& change);
};

// The default VFS of the process while it exists. A path is "disk:name".
class FaultVfs {
 public:
  FaultVfs();
  ~FaultVfs();
  FaultVfs(const FaultVfs&) = delete;
  FaultVfs& operator=(const FaultVfs&) = delete;
  FaultDisk& disk(const std::string& name) { return disks_.try_emplace(name, 1).first->second; }
  FaultDisk& make_disk(const std::string& name, std::uint64_t seed) {
    return disks_.try_emplace(name, seed).first->second;
  }

 private:
  sqlite3_vfs vfs_{};
  sqlite3_vfs* replaced_ = nullptr;
  std::map<std::string, FaultDisk> disks_;
  std::mt19937_64 random_{7};

  static FaultVfs& of(sqlite3_vfs* vfs) { return *static_cast<FaultVfs*>(vfs->pAppData); }
  FaultDisk& disk_of(const char* path);
  static int open(sqlite3_vfs* vfs, const char* path, sqlite3_file* file, int flags, int* out_flags);
  static int remove(sqlite3_vfs* vfs, const char* path, int sync_folder);
  static int access(sqlite3_vfs* vfs, const char* path, int flags, int* out);
  static int full_path(sqlite3_vfs* vfs, const char* path, int size, char* out);
  static int randomness(sqlite3_vfs* vfs, int size, char* out);
};

}  // namespace lotusyard::test
