// Requests that wait because this machine could not make the connection that they need.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/types.h"

namespace lotusyard::hosts {

using core::Millis;

// An attempt, a probe or a load request that waits for a connection. Nothing of it was sent, so it cannot
// have run.
struct WaitingSend {
  enum class Kind { attempt, probe, load_request };

  Kind kind = Kind::attempt;
  std::string host;
  Millis since{0};
  Millis deadline{0};  // when it stops waiting
  // Of an attempt:
  Millis may_move_at{0};  // from then on it may go to another host
  core::Attempt attempt;
  core::Call call;
  // Of a load request:
  std::uint64_t function = 0;
  int copies = 0;
};

// Queue of waiting sends in the order of their arrival. Its length is bounded by the open calls and by the
// load requests and probes of the policy.
class WaitingSends {
 public:
  void add(WaitingSend&& send) { sends_.push_back(std::move(send)); }
  // Returns false if the attempt does not wait.
  bool remove(const core::Attempt& attempt);
  std::vector<WaitingSend> take_all();
  std::vector<WaitingSend> take_for_host(const std::string& host);
  bool empty() const { return sends_.empty(); }

 private:
  std::vector<WaitingSend> sends_;
};

}  // namespace lotusyard::hosts
