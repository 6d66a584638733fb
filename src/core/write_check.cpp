#include "core/write_check.h"

#include <algorithm>

namespace lotusyard::core {
namespace {

// An attempt must not begin 100 ms or more after its client has cancelled. Half of that is left for the time
// between this check and the beginning at the host.
constexpr Millis kMaxUnreadDuration{50};

}  // namespace

WriteCheck check_before_write(const OpenCall& open, Millis decided_at, Millis now) {
  if (now >= open.expires_at())
    return WriteCheck::deadline_passed;
  const Millis read_since = std::max(decided_at, now - kMaxUnreadDuration);
  switch (open.front_end().client_state(open.id(), read_since)) {
    case FrontEnd::ClientState::waiting:
      return WriteCheck::allowed;
    case FrontEnd::ClientState::has_unread_input:
      return WriteCheck::after_reading_client;
    case FrontEnd::ClientState::disconnected:
      break;
  }
  return WriteCheck::client_disconnected;
}

}  // namespace lotusyard::core
