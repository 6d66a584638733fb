// The functions that SQLite calls on open files and on the VFS.
#include "support/fault_vfs.h"

#include <algorithm>
#include <cstring>
#include <new>

namespace lotusyard::test {

// SQLite's handle of an open file.
struct FaultFile {
  sqlite3_file base;
  FaultDisk* disk;
  std::shared_ptr<FaultDisk::Content> content;
  std::string name;
  bool deletes_on_close;

  static FaultFile& of(sqlite3_file* file) { return *reinterpret_cast<FaultFile*>(file); }

  static int close(sqlite3_file* file) {
    FaultFile& self = of(file);
    unlock(file, SQLITE_LOCK_NONE);
    --self.content->open;
    if (self.deletes_on_close)
      self.disk->files_.erase(self.name);
    self.~FaultFile();
    return SQLITE_OK;
  }
  static int read(sqlite3_file* file, void* out, int size, sqlite3_int64 offset) {
    FaultFile& self = of(file);
    if (self.disk->crashed_ || self.disk->happens(self.disk->rates.read_error))
      return SQLITE_IOERR_READ;
    const auto& bytes = self.content->bytes;
    const auto from = std::min(static_cast<std::size_t>(offset), bytes.size());
    const auto got = std::min(bytes.size() - from, static_cast<std::size_t>(size));
    std::memcpy(out, bytes.data() + from, got);
    std::memset(static_cast<char*>(out) + got, 0, static_cast<std::size_t>(size) - got);
    return got == static_cast<std::size_t>(size) ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
  }
  static int write(sqlite3_file* file, const void* data, int size, sqlite3_int64 offset) {
    const std::string bytes(static_cast<const char*>(data), static_cast<std::size_t>(size));
    return of(file).disk->write(*of(file).content, static_cast<std::size_t>(offset), bytes);
  }
  static int truncate(sqlite3_file* file, sqlite3_int64 size) {
    return of(file).disk->truncate(*of(file).content, static_cast<std::size_t>(size));
  }
  static int sync(sqlite3_file* file, int) { return of(file).disk->sync(*of(file).content); }
  static int size(sqlite3_file* file, sqlite3_int64* out) {
    *out = static_cast<sqlite3_int64>(of(file).content->bytes.size());
    return SQLITE_OK;
  }
  static int lock(sqlite3_file* file, int level) {
    FaultFile& self = of(file);
    auto& content = *self.content;
    const bool reserved_by_other = content.reserved != nullptr && content.reserved != &self;
    const bool read_by_others = content.shared.size() > content.shared.count(&self);
    if (level == SQLITE_LOCK_SHARED) {
      if (content.is_exclusive && reserved_by_other)
        return SQLITE_BUSY;
      content.shared.insert(&self);
      return SQLITE_OK;
    }
    if (reserved_by_other || (level == SQLITE_LOCK_EXCLUSIVE && read_by_others))
      return SQLITE_BUSY;
    content.reserved = &self;
    if (level == SQLITE_LOCK_EXCLUSIVE)
      content.is_exclusive = true;
    return SQLITE_OK;
  }
  static int unlock(sqlite3_file* file, int level) {
    FaultFile& self = of(file);
    auto& content = *self.content;
    if (content.reserved == &self) {
      content.reserved = nullptr;
      content.is_exclusive = false;
    }
    if (level == SQLITE_LOCK_NONE)
      content.shared.erase(&self);
    return SQLITE_OK;
  }
  static int is_reserved(sqlite3_file* file, int* out) {
    *out = of(file).content->reserved != nullptr ? 1 : 0;
    return SQLITE_OK;
  }
  static int control(sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; }
  static int sector_size(sqlite3_file*) { return 512; }
  static int characteristics(sqlite3_file*) { return 0; }
};

namespace {

const sqlite3_io_methods kMethods = {1,
                                     FaultFile::close,
                                     FaultFile::read,
                                     FaultFile::write,
                                     FaultFile::truncate,
                                     FaultFile::sync,
                                     FaultFile::size,
                                     FaultFile::lock,
                                     FaultFile::unlock,
                                     FaultFile::is_reserved,
                                     FaultFile::control,
                                     FaultFile::sector_size,
                                     FaultFile::characteristics,
                                     nullptr,
                                     nullptr,
                                     nullptr,
                                     nullptr,
                                     nullptr,
                                     nullptr};

}  // namespace

FaultVfs::FaultVfs() : replaced_(sqlite3_vfs_find(nullptr)) {
  vfs_.iVersion = 1;
  vfs_.szOsFile = sizeof(FaultFile);
  vfs_.mxPathname = 200;
  vfs_.zName = "fault";
  vfs_.pAppData = this;
  vfs_.xOpen = open;
  vfs_.xDelete = remove;
  vfs_.xAccess = access;
  vfs_.xFullPathname = full_path;
  vfs_.xRandomness = randomness;
  vfs_.xSleep = [](sqlite3_vfs*, int) { return 0; };
  vfs_.xCurrentTime = [](sqlite3_vfs*, double* out) {
    *out = 2460000;
    return SQLITE_OK;
  };
  vfs_.xGetLastError = [](sqlite3_vfs*, int, char*) { return 0; };
  sqlite3_vfs_register(&vfs_, 1);
}

FaultVfs::~FaultVfs() {
  sqlite3_vfs_unregister(&vfs_);
  sqlite3_vfs_register(replaced_, 1);
}

FaultDisk& FaultVfs::disk_of(const char* path) {
  const std::string text = path == nullptr ? "" : path;
  return disk(text.substr(0, text.find(':')));
}

int FaultVfs::open(sqlite3_vfs* vfs, const char* path, sqlite3_file* file, int flags, int* out_flags) {
  FaultDisk& disk = of(vfs).disk_of(path);
  file->pMethods = nullptr;
  if (disk.crashed_ || disk.happens(disk.rates.open_error))
    return SQLITE_CANTOPEN;
  if (disk.happens(disk.rates.no_memory))
    return SQLITE_NOMEM;
  const std::string name = path == nullptr ? "temporary" : path;
  auto& content = disk.files_[name];
  if (!content)
    content = std::make_shared<FaultDisk::Content>();
  ++content->open;
  new (file) FaultFile{{&kMethods}, &disk, content, name, (flags & SQLITE_OPEN_DELETEONCLOSE) != 0};
  if (disk.is_read_only)
    flags = (flags & ~SQLITE_OPEN_READWRITE) | SQLITE_OPEN_READONLY;
  if (out_flags != nullptr)
    *out_flags = flags;
  return SQLITE_OK;
}

int FaultVfs::remove(sqlite3_vfs* vfs, const char* path, int) { return of(vfs).disk_of(path).remove(path); }

int FaultVfs::access(sqlite3_vfs* vfs, const char* path, int, int* out) {
  *out = static_cast<int>(of(vfs).disk_of(path).files_.count(path));
  return SQLITE_OK;
}

int FaultVfs::full_path(sqlite3_vfs*, const char* path, int size, char* out) {
  return sqlite3_snprintf(size, out, "%s", path) == nullptr ? SQLITE_CANTOPEN : SQLITE_OK;
}

int FaultVfs::randomness(sqlite3_vfs* vfs, int size, char* out) {
  for (int i = 0; i < size; ++i)
    out[i] = static_cast<char>(of(vfs).random_());
  return size;
}

}  // namespace lotusyard::test
