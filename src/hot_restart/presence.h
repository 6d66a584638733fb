// Tells whether another process of this invoker lives: each holds a lock on a file of its own, which ends
// with it however it ends.
#pragma once

#include <string>

#include "net/socket.h"

namespace lotusyard::hot_restart {

class Presence {
 public:
  explicit Presence(std::string folder);
  ~Presence();
  Presence(const Presence&) = delete;
  Presence& operator=(const Presence&) = delete;
  bool known() const { return static_cast<bool>(mine_); }  // false: the folder cannot be written
  bool other_lives() const;

 private:
  std::string folder_, name_;
  net::Socket mine_;
};

}  // namespace lotusyard::hot_restart
