// Replicated state of the slow-start quota: which members hold a share of it.
// Deterministic: members that have applied the same entries hold the same
// state. A share grows only after the members that release theirs have
// confirmed it or must have lost their leases; it shrinks at once. Does no I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "quota/log_entry.h"
#include "raft/lease.h"

namespace lotusyard::quota {

using raft::Millis;

class QuotaEpochs {
 public:
  static constexpr std::size_t kMaxHolders = 1024;

  // Applies the entry at the log index. Returns false, and changes nothing, if
  // it does not fit the current epoch.
  bool apply(std::uint64_t index, const LogEntry& entry);

  // Share (0 to 1) of a member of this incarnation; 0 without its lease.
  // `members_seen`: how many members it observes itself. More than the epoch has
  // make the share smaller at once; fewer have no effect.
  double share_of(const std::string& member, std::uint64_t incarnation, bool is_leased,
                  std::size_t members_seen) const;

  const QuotaHolders& previous_holders() const { return previous_holders_; }
  const QuotaHolders& current_holders() const { return current_holders_; }
  bool is_open() const { return is_open_; }
  // Log index at which the current epoch began.
  std::uint64_t epoch_index() const { return epoch_index_; }

  nlohmann::json snapshot() const;

  // Returns false, and leaves the state unchanged, if the snapshot is not a
  // valid one.
  bool restore(const nlohmann::json& from);

 private:
  QuotaHolders previous_holders_;
  QuotaHolders current_holders_;
  bool is_open_ = true;
  std::uint64_t epoch_index_ = 0;

  bool apply_command(std::uint64_t index, const BeginEpoch& command);
  bool apply_command(std::uint64_t index, const OpenEpoch& command);
};

}  // namespace lotusyard::quota
