#include "hot_restart/presence.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <memory>
#include <string_view>
#include <utility>

namespace lotusyard::hot_restart {
namespace {

constexpr int kMaxFileNames = 100;  // tried before giving up
constexpr std::string_view kFilePrefix = "process.";
constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;

}  // namespace

Presence::Presence(std::string folder) : folder_(std::move(folder)) {
  if (folder_.empty())
    return;
  mkdir(folder_.c_str(), kFolderMode);
  for (int i = 0; i < kMaxFileNames; ++i) {
    file_name_ = std::string(kFilePrefix) + std::to_string(getpid()) + '.' + std::to_string(i);
    if (announce(file_name_))
      return;
  }
}

Presence::~Presence() {
  if (lock_file_)
    unlink(path_of(file_name_).c_str());
}

// Creates and locks a file.
bool Presence::announce(const std::string& file_name) {
  net::Socket file(open(path_of(file_name).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kFileMode));
  if (!file || flock(file.fd(), LOCK_EX | LOCK_NB) != 0)
    return false;
  // Another process that checked the file before it was locked has removed it as that of a dead process.
  struct stat status {};
  if (fstat(file.fd(), &status) != 0 || status.st_nlink == 0)
    return false;
  lock_file_ = std::move(file);
  return true;
}

bool Presence::other_is_alive() const {
  if (!lock_file_)
    return false;
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir(folder_.c_str()), &closedir);
  if (!folder)
    return false;
  bool other_found = false;
  while (const dirent* entry = readdir(folder.get())) {
    if (is_other_process(entry->d_name))
      other_found = true;
  }
  return other_found;
}

// Whether the file belongs to another process that is alive. Removes the file if its process is dead.
bool Presence::is_other_process(const std::string& file_name) const {
  if (file_name.compare(0, kFilePrefix.size(), kFilePrefix) != 0 || file_name == file_name_)
    return false;
  const std::string path = path_of(file_name);
  const net::Socket file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file)
    return false;
  if (flock(file.fd(), LOCK_SH | LOCK_NB) != 0)
    return true;
  unlink(path.c_str());
  return false;
}

}  // namespace lotusyard::hot_restart
