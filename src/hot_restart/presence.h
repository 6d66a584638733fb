// Whether another process of this invoker is alive.
#pragma once

#include <string>

#include "net/socket.h"

namespace lotusyard::hot_restart {

// Each process holds a lock on a file of its own in a shared folder. The lock ends with the process, however
// it ends.
class Presence {
 public:
  explicit Presence(std::string folder);  // empty: there is no folder
  ~Presence();
  Presence(const Presence&) = delete;
  Presence& operator=(const Presence&) = delete;

  // Returns false if this process could not announce itself, because the folder cannot be written to.
  bool is_announced() const { return static_cast<bool>(lock_file_); }

  // Also removes the files of processes that were killed. Always false if this process is not announced.
  bool other_is_alive() const;

 private:
  std::string folder_;
  std::string file_name_;
  net::Socket lock_file_;

  std::string path_of(const std::string& file_name) const { return folder_ + '/' + file_name; }
  bool announce(const std::string& file_name);
  bool is_other_process(const std::string& file_name) const;
};

}  // namespace lotusyard::hot_restart
