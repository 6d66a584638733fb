// Tags of load requests, probes and health checks.
#pragma once

#include <cstdint>
#include <string>

namespace lotusyard::hosts {

// Generates tags that are unique in this process. One sequence serves all connections.
class TagSequence {
 public:
  std::string next_load_tag() { return next('t'); }
  std::string next_probe_tag() { return next('p'); }
  std::string next_liveness_tag() { return next('s'); }
  std::string next_readiness_tag() { return next('r'); }

 private:
  // The prefix distinguishes a tag from the ref of an attempt, which is 16 hexadecimal digits.
  std::string next(char prefix) { return prefix + std::to_string(++last_); }

  std::uint64_t last_ = 0;
};

}  // namespace lotusyard::hosts
