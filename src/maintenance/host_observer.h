// One member's observations of the hosts it sends calls to: the value that each serves, and which ones fail.
// The maintenance scheduler uses them to drain the host whose absence costs least. Does no I/O; the time is
// passed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "lotusyard/policy/policy.h"

namespace lotusyard::maintenance {

using policy::Millis;

class HostObserver {
 public:
  // Functions tracked at once; the least recently served one is evicted.
  static constexpr std::size_t kMaxFunctions = 4096;

  // Records a successful call of a function; `priority_weight` is that of the call's class.
  void record_success(const std::string& host, std::uint64_t function, double priority_weight, Millis now);
  // Records a refused connection or a connection reset.
  void record_failure(const std::string& host, Millis now);

  // The value the host serves per second. Functions that only this host has served recently are weighted
  // higher: their calls would need a cold start on another host.
  double serving_value(const std::string& host, Millis now) const;
  // Whether the host has failed several times in a row, the last time recently.
  bool is_down(const std::string& host, Millis now) const;
  // Time of the last successful call; zero if there was none.
  Millis last_served(const std::string& host) const;

 private:
  struct HostRecord {
    double rate = 0;  // value served, decaying exponentially
    Millis rate_updated_at{0};
    Millis last_served_at{0};
    Millis last_failed_at{0};
    int consecutive_failures = 0;
  };
  struct FunctionRecord {
    std::map<std::string, Millis> hosts;  // when each host last served the function
    double rate = 0;                      // value served, decaying exponentially
    Millis rate_updated_at{0};
  };
  std::map<std::string, HostRecord> hosts_;
  std::map<std::uint64_t, FunctionRecord> functions_;

  void evict_oldest_function();
};

}  // namespace lotusyard::maintenance
