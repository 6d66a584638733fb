// A disk of the in-memory VFS: its contents, the durable part of them, and what survives a crash.
#include <algorithm>
#include <utility>

#include "support/fault_vfs.h"

namespace lotusyard::test {

void FaultDisk::apply(std::string& bytes, const Change& change) {
  if (change.truncates) {
    bytes.resize(std::min(bytes.size(), change.offset));
    return;
  }
  if (bytes.size() < change.offset + change.data.size())
    bytes.resize(change.offset + change.data.size());
  bytes.replace(change.offset, change.data.size(), change.data);
}

int FaultDisk::write(Content& file, std::size_t offset, const std::string& data) {
  Change change{offset, data, false};
  const bool crashes = crashes_now();
  const bool was_crashed = std::exchange(crashed_, crashes);
  if (was_crashed)
    return SQLITE_IOERR_WRITE;
  const bool grows = offset + data.size() > file.bytes.size();
  const bool full = (is_full && grows) || happens(rates.full);
  const bool fails = full || crashes || happens(rates.write_error);
  if (fails)
    change.data.resize(random_() % (data.size() + 1));  // a short write
  apply(file.bytes, change);
  file.unsynced.push_back(std::move(change));
  if (!fails)
    return SQLITE_OK;
  return full ? SQLITE_FULL : SQLITE_IOERR_WRITE;
}

int FaultDisk::truncate(Content& file, std::size_t size) {
  if (crashes_now())
    crashed_ = true;
  if (crashed_ || happens(rates.write_error))
    return SQLITE_IOERR_TRUNCATE;
  file.unsynced.push_back({size, {}, true});
  apply(file.bytes, file.unsynced.back());
  return SQLITE_OK;
}

int FaultDisk::sync(Content& file) {
  if (crashes_now())
    crashed_ = true;
  if (crashed_)
    return SQLITE_IOERR_FSYNC;
  if (ignores_syncs)
    return SQLITE_OK;
  if (happens(rates.sync_error)) {
    // As kernels do: pages that could not be written are dropped, and a later sync reports no error.
    if (random_() % 2 == 0)
      file.unsynced.clear();
    return SQLITE_IOERR_FSYNC;
  }
  file.durable = file.bytes;
  file.unsynced.clear();
  return SQLITE_OK;
}

int FaultDisk::remove(const std::string& name) {
  if (crashes_now())
    crashed_ = true;
  if (crashed_)
    return SQLITE_IOERR_DELETE;
  return files_.erase(name) == 1 ? SQLITE_OK : SQLITE_IOERR_DELETE_NOENT;
}

bool FaultDisk::has_open_files() const {
  return std::any_of(files_.begin(), files_.end(), [](const auto& f) { return f.second->open > 0; });
}

void FaultDisk::restart() {
  for (auto& [name, file] : files_) {
    if (crash_kind == Crash::power_lost) {
      std::string survived = file->durable;
      for (auto& change : file->unsynced) {
        if (random_() % 2 == 0)
          continue;
        if (!change.truncates && random_() % 4 == 0)
          change.data.resize(random_() % (change.data.size() + 1));
        apply(survived, change);
      }
      file->bytes = survived;
    }
    file->durable = file->bytes;
    file->unsynced.clear();
  }
  crashed_ = false;
  crash_at = 0;
}

}  // namespace lotusyard::test
