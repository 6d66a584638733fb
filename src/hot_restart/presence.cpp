#include "hot_restart/presence.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <memory>

namespace lotusyard::hot_restart {
namespace {

constexpr int kTries = 100;
const std::string kPrefix = "process.";

}  // namespace

Presence::Presence(std::string folder) : folder_(std::move(folder)) {
  if (folder_.empty())
    return;
  mkdir(folder_.c_str(), 0700);
  for (int i = 0; i < kTries && !mine_; ++i) {
    name_ = kPrefix + std::to_string(getpid()) + '.' + std::to_string(i);
    const std::string path = folder_ + '/' + name_;
    net::Socket file(open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600));
    if (!file || flock(file.fd(), LOCK_EX | LOCK_NB) != 0)
      continue;
    // One that looked before the lock was held has taken the file for one left behind.
    struct stat about {};
    if (fstat(file.fd(), &about) == 0 && about.st_nlink > 0)
      mine_ = std::move(file);
  }
}

Presence::~Presence() {
  if (mine_)
    unlink((folder_ + '/' + name_).c_str());
}

bool Presence::other_lives() const {
  if (!mine_)
    return false;
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir(folder_.c_str()), &closedir);
  if (!folder)
    return false;
  bool lives = false;
  while (const dirent* entry = readdir(folder.get())) {
    const std::string name = entry->d_name;
    if (name.compare(0, kPrefix.size(), kPrefix) != 0 || name == name_)
      continue;
    const std::string path = folder_ + '/' + name;
    const net::Socket file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file)
      continue;
    if (flock(file.fd(), LOCK_SH | LOCK_NB) != 0) {
      lives = true;
    } else {
      unlink(path.c_str());  // left behind by a process that was killed
    }
  }
  return lives;
}

}  // namespace lotusyard::hot_restart
