#include "node/settled.h"

#include <algorithm>
#include <limits>

namespace lotusyard::node {
namespace {

constexpr control::Index kAll = std::numeric_limits<control::Index>::max();

control::Index before_used_hosts(const works::Board& board, const SettledTracker::HostIsFree& free) {
  control::Index out = kAll;
  for (const auto& [id, host] : board.hosts()) {
    const bool forbidden = host.stage == works::Stage::leaving || host.stage == works::Stage::out;
    if (forbidden && !free(id)) out = std::min(out, host.round - 1);
  }
  return out;
}

}  // namespace

// A revoked certificate is used no more once every call that may have gone out under it has run out of time.
control::Index SettledTracker::before_revocations(const compliance::Book& book, works::Millis now) {
  control::Index out = kAll;
  std::map<Revocation, works::Millis> ending;
  for (const auto& [name, certificate] : book.certificates()) {
    if (certificate.state != compliance::Certificate::State::ending) continue;
    const Revocation revocation{name, certificate.round};
    const auto known = revoked_since_.find(revocation);
    const works::Millis since = known == revoked_since_.end() ? now : known->second;
    ending[revocation] = since;
    if (now - since < last_call_) out = std::min(out, certificate.round - 1);
  }
  revoked_since_ = std::move(ending);
  return out;
}

control::Index SettledTracker::settled(const works::Board& board, const compliance::Book& book,
                                       control::Index position, const HostIsFree& free, works::Millis now) {
  return std::min({position, before_used_hosts(board, free), before_revocations(book, now)});
}

}  // namespace lotusyard::node
