#include "hosts/waiting_sends.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lotusyard::hosts {

bool WaitingSends::remove(const core::Attempt& attempt) {
  const auto found = std::find_if(sends_.begin(), sends_.end(), [&](const WaitingSend& send) {
    return send.kind == WaitingSend::Kind::attempt && send.attempt == attempt;
  });
  if (found == sends_.end())
    return false;
  sends_.erase(found);
  return true;
}

std::vector<WaitingSend> WaitingSends::take_all() { return std::exchange(sends_, {}); }

std::vector<WaitingSend> WaitingSends::take_for_host(const std::string& host) {
  const auto first_taken = std::stable_partition(sends_.begin(), sends_.end(),
                                                 [&](const WaitingSend& send) { return send.host != host; });
  std::vector<WaitingSend> taken(std::make_move_iterator(first_taken), std::make_move_iterator(sends_.end()));
  sends_.erase(first_taken, sends_.end());
  return taken;
}

}  // namespace lotusyard::hosts
