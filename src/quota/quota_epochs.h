// Which part of what all may send a cold host is whose: the same at every member that has applied the same
// entries. A part grows only once those that give theirs up have said so, or provably stopped; it shrinks at
// once. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "raft/lease.h"

namespace lotusyard::quota {

using raft::Millis;
using QuotaHolders = std::map<std::string, std::uint64_t>;  // members and their lives

struct LogEntry {
  enum class Kind {
    begin_epoch,  // these share from now on; until it is opened nobody's part is larger than before or after
    open_epoch    // all who shared before know that, or have no lease: each takes its whole part
  };
  Kind kind = Kind::begin_epoch;
  QuotaHolders holders;
  std::uint64_t epoch_index = 0;  // of `open`: the index of the parting that it opens
};
std::string encode_entry(const LogEntry& entry);
std::optional<LogEntry> parse_entry(const std::string& text);

class QuotaEpochs {
 public:
  static constexpr std::size_t max_holders = 1024;
  // False: it does not fit what holds, and changes nothing.
  bool apply(std::uint64_t index, const LogEntry& entry);
  // The part of a member of this life that holds its lease; without its lease it has none. `seen`: how many
  // members it sees in the fleet itself: more than agreed makes the part smaller at once, fewer changes
  // nothing.
  double share_of(const std::string& member, std::uint64_t life, bool leased, std::size_t seen) const;

  const QuotaHolders& previous_holders() const { return previous_holders_; }
  const QuotaHolders& current_holders() const { return current_holders_; }
  bool is_open() const { return is_open_; }
  std::uint64_t epoch_index() const { return epoch_index_; }

  nlohmann::json snapshot() const;
  bool restore(const nlohmann::json& from);

 private:
  QuotaHolders previous_holders_, current_holders_;
  bool is_open_ = true;
  std::uint64_t epoch_index_ = 0;
};

// What a member is known to have done, by its signs of life in the agreed log.
struct HolderProgress {
  std::uint64_t incarnation = 0, applied_index = 0;  // has: it follows the log to there
  Millis last_heartbeat_at{0};                       // by the clock of the one that leads
};
// What the one that leads is to propose; nothing: all is as it should be, or waits. `parted`: since when it
// knows of the parting that is not open yet, by its own clock.
std::optional<LogEntry> next_entry(const QuotaEpochs& epochs,
                                   const std::map<std::string, HolderProgress>& signs,
                                   const raft::LeaseTerms& terms, Millis parted, Millis now);

}  // namespace lotusyard::quota
