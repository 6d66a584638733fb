// A durable store of results in the working directory, for a test to open, close and open again.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <string>
#include <vector>

#include "idempotency/sqlite_result_store.h"

namespace lotusyard::test {

// The wall-clock time of records, in milliseconds.
constexpr double kStoreNow = 1e12;

// The path of a store, which is removed together with SQLite's auxiliary files.
struct StoreFile {
  explicit StoreFile(const std::string& name)
      : path("answers-test-" + name + "-" + std::to_string(getpid()) + ".db") {
    remove();
  }
  ~StoreFile() { remove(); }
  void remove() const {
    for (const char* end : {"", "-wal", "-shm"})
      std::remove((path + end).c_str());
  }
  std::string path;
};

struct OpenStore {
  explicit OpenStore(const StoreFile& file, const idempotency::Bounds& bounds = {}, double now = kStoreNow)
      : store(file.path, bounds, core::Millis(now), counters,
              [this](const std::string& line) { log.push_back(line); }) {}
  metrics::Counters counters;
  std::vector<std::string> log;
  idempotency::SqliteResultStore store;
};

inline idempotency::ResultRecord record(idempotency::ResultStage stage,
                                        core::CallStatus status = core::CallStatus::succeeded,
                                        double at = kStoreNow) {
  idempotency::ResultRecord r;
  r.stage = stage;
  r.answer = {status, core::Millis(0), stage >= idempotency::ResultStage::answered ? "body" : ""};
  r.updated_at = core::Millis(at);
  return r;
}

}  // namespace lotusyard::test
