// What the decision module wants done.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "lotusyard/policy/settings.h"

namespace lotusyard::policy {

namespace action {

struct Send {
  std::string id;
  std::string host;
  Millis time_out{0};
};

struct Load {
  std::string host;
  std::uint64_t function = 0;
  int copies = 0;  // instances that the host is to hold; 0 only asks how many it holds
};

struct Unload {
  std::string host;
  std::uint64_t function = 0;
};

// Ends a request that never ran; trying again is harmless.
struct Reject {
  std::string id;
  Millis retry_after{0};
};

// Ends a request that may have run.
struct Fail {
  std::string id;
};

struct Cancel {
  std::string id;
  int attempt = 0;
};

struct Probe {
  std::string host;
};

struct SendToPeers {
  std::optional<int> to;  // none: every peer
  std::string text;
};

struct SetTimer {
  Millis after{0};
  std::uint64_t token = 0;
};

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
