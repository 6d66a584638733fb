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

#include "group/lease.h"

namespace lotusyard::shares {

using group::Millis;
using Sharers = std::map<std::string, std::uint64_t>;  // members and their lives

struct Entry {
  enum class Kind {
    part,  // these share from now on; until it is opened nobody's part is larger than before or after
    open   // all who shared before know that, or have no lease: each takes its whole part
  };
  Kind kind = Kind::part;
  Sharers sharers;
  std::uint64_t round = 0;  // of `open`: the index of the parting that it opens
};
std::string worded(const Entry& entry);
std::optional<Entry> read_entry(const std::string& text);

class Epochs {
 public:
  static constexpr std::size_t sharers_most = 1024;
  // False: it does not fit what holds, and changes nothing.
  bool apply(std::uint64_t index, const Entry& entry);
  // The part of a member of this life that holds its lease; without its lease it has none. `seen`: how many
  // members it sees in the fleet itself: more than agreed makes the part smaller at once, fewer changes
  // nothing.
  double part_of(const std::string& member, std::uint64_t life, bool leased, std::size_t seen) const;

  const Sharers& before() const { return before_; }
  const Sharers& now() const { return now_; }
  bool opened() const { return opened_; }
  std::uint64_t round() const { return round_; }

  nlohmann::json snapshot() const;
  bool restore(const nlohmann::json& from);

 private:
  Sharers before_, now_;
  bool opened_ = true;
  std::uint64_t round_ = 0;
};

// What a member is known to have done, by its signs of life in the agreed log.
struct Sign {
  std::uint64_t life = 0, has = 0;  // has: it follows the log to there
  Millis seen{0};                   // by the clock of the one that leads
};
// What the one that leads is to propose; nothing: all is as it should be, or waits. `parted`: since when it
// knows of the parting that is not open yet, by its own clock.
std::optional<Entry> next(const Epochs& epochs, const std::map<std::string, Sign>& signs,
                          const group::Terms& terms, Millis parted, Millis now);

}  // namespace lotusyard::shares
