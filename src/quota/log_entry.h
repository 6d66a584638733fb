// The commands that members replicate to change who holds a share of the
// slow-start quota.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace lotusyard::quota {

// Members that hold a share of the quota, with their incarnations.
using QuotaHolders = std::map<std::string, std::uint64_t>;

// Begins an epoch with new holders. Until it is opened, a member's share is the
// smaller of its shares in the previous epoch and in this one.
struct BeginEpoch {
  QuotaHolders holders;
};

// Opens the epoch that began at the log index: every previous holder has
// applied its beginning or has lost its lease, so each holder may use its full
// share.
struct OpenEpoch {
  std::uint64_t epoch_index = 0;
};

using LogEntry = std::variant<BeginEpoch, OpenEpoch>;

}  // namespace lotusyard::quota
