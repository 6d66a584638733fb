// What one member sees of hosts, for the works' order: what each is worth now, which functions only it
// serves, which ones fail. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::maintenance {

using policy::Millis;

class HostObserver {
 public:
  static constexpr std::size_t max_functions = 4096;  // known at once; the one unseen for longest goes

  void record_success(const std::string& host, std::uint64_t function, double worth, Millis now);
  void record_failure(const std::string& host, Millis now);  // it could not be reached, or broke off

  // Worth a second that it serves. What it alone has served of late counts several times: those calls wait
  // for a load elsewhere, the others only move.
  double serving_value(const std::string& host, Millis now) const;
  bool is_down(const std::string& host, Millis now) const;
  Millis last_served(const std::string& host) const;

 private:
  struct Host {
    double rate = 0;  // worth, decaying
    Millis at{0}, served{0}, failed{0};
    int failures = 0;  // on end
  };
  struct Function {
    std::map<std::string, Millis> hosts;  // that served it, and when last
    double rate = 0;
    Millis at{0};
  };
  std::map<std::string, Host> hosts_;
  std::map<std::uint64_t, Function> functions_;

  void make_room();
};

}  // namespace lotusyard::maintenance
