// What a group has agreed upon about works on machines: the same at every member that has applied the same
// entries. No I/O; the one thing here that is a member's own is when it saw what (`since`, `seen`).
#pragma once

#include <deque>

#include "works/entry.h"

namespace lotusyard::works {

enum class Stage { waiting, named, leaving, out, warming, back };
const char* name_of(Stage stage);
bool away(Stage stage);  // out of use for a work, or back and not proven yet: it counts for the bounds

class Board {
 public:
  struct Host {
    HostKey key;
    std::string work, reason;
    Stage stage = Stage::waiting;
    std::uint64_t round = 0;             // the index at which it was named, later that at which it was taken
    bool late = false, touched = false;  // touched: operators may have had it, so it comes back cold
    Millis since{0};
  };
  struct Member {
    std::uint64_t life = 0;
    bool serves = true;
    std::uint64_t has = 0;
    std::uint64_t followed = 0;  // as of its signs of life: `has`, or less where it represents others
    std::set<std::string> drained;
    View view;
    bool told = false;  // whether it has said what it sees
    Millis seen{0};
  };
  struct Outcome {
    bool done = false;
    std::string why;  // why not
    std::uint64_t index = 0;
  };
  static constexpr std::size_t outcomes_most = 256, closed_most = 64;

  // `index` grows from call to call. Whatever the entry says, the bounds and the order of the stages hold.
  Outcome apply(std::uint64_t index, const Entry& entry, Millis now);

  const std::vector<Work>& works() const { return works_; }  // in the order in which they were added
  const std::map<std::string, Host>& hosts() const { return hosts_; }
  const std::map<std::string, Member>& members() const { return members_; }
  const Work* work(const std::string& id) const;
  const Outcome* outcome(const std::string& proposal) const;
  std::uint64_t index() const { return index_; }
  const std::string& waits() const { return waits_; }  // why works do not go on, as the one that leads said
  Millis last_back() const { return last_back_; }
  std::uint64_t last_life(const std::string& member) const;

  // Hosts that a member must not use: those that are out, and without its lease those that may be next.
  std::set<std::string> avoided(bool leased) const;
  // Why a further host of this zone and kind would break a bound of any work that has hosts out, or of its
  // own; empty if it breaks none. All works share them. `listed`: how many hosts there are.
  std::string over_bounds(const Work& of, const HostKey& host, int listed) const;
  // How many hosts may be named, leaving, out or warming together.
  int reach_most(int listed) const;
  int in_reach() const;
  int listed() const;  // as the member saw that saw fewest

  nlohmann::json snapshot() const;
  bool restore(const nlohmann::json& from, Millis now);  // false: it is none; nothing has changed

 private:
  std::vector<Work> works_;
  std::map<std::string, Host> hosts_;  // of works that are not closed
  std::map<std::string, Member> members_;
  std::map<std::string, std::uint64_t> lives_;  // the last of each member, also of those that left
  std::map<std::string, Outcome> outcomes_;
  std::deque<std::string> outcome_order_;
  std::uint64_t index_ = 0;
  std::string waits_;
  Millis last_back_{0};

  std::string change(const Entry& entry, Millis now);  // why it is refused; empty: it holds
  std::string add(const Entry& entry, Millis now);
  std::string alter(const Entry& entry);
  std::string move_host(const Entry& entry, Millis now);
  std::string take(Host& host);
  Work* find(const std::string& id);
  void close_if_done(const std::string& id);
  void keep_outcome(const std::string& proposal, const Outcome& outcome);
};

}  // namespace lotusyard::works
