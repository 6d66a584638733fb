// The actions that the decision module returns; the caller carries them out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "lotusyard/policy/settings.h"

namespace lotusyard::policy {

namespace action {

// Sends an attempt of a request to a host.
struct Send {
  std::string id;
  std::string host;
  Millis time_out{0};
};

// Orders a host to load instances of a function.
struct Load {
  std::string host;
  std::uint64_t function = 0;
  int copies = 0;  // instances that the host should have afterwards; 0 only queries how many it has
};

struct Unload {
  std::string host;
  std::uint64_t function = 0;
};

// Answers a request that never ran; the client may safely send it again.
struct Reject {
  std::string id;
  Millis retry_after{0};
};

// Answers a request that may have run.
struct Fail {
  std::string id;
};

// Asks the host to stop an attempt whose answer is no longer needed.
struct Cancel {
  std::string id;
  int attempt = 0;
};

// Starts a health check of a host.
struct Probe {
  std::string host;
};

struct SendToPeers {
  std::optional<int> to;  // none: every peer
  std::string text;
};

// Requests an event::Timer with the same token.
struct SetTimer {
  Millis after{0};
  std::uint64_t token = 0;
};

// Starts or stops polling for endpoint lists.
struct Watch {
  bool on = true;
};

struct Log {
  std::string text;
};

}  // namespace action

using Action =
    std::variant<action::Send, action::Load, action::Unload, action::Reject, action::Fail, action::Cancel,
                 action::Probe, action::SendToPeers, action::SetTimer, action::Watch, action::Log>;

}  // namespace lotusyard::policy
