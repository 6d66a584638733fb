// Which hosts this member leaves alone for works, and what it sees of hosts beside that. No I/O; the time is
// passed in.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/member.h"
#include "works/board.h"
#include "works/watch.h"

namespace lotusyard::works {

class Leaving {
 public:
  using Listed = std::map<std::string, core::Member>;
  struct Change {
    std::set<std::string> out, anew;  // anew: used again from now on, and cold
    std::vector<std::string> lines;   // for the log
  };
  // What the board says, with its lease or without.
  Change follow(const Board& board, bool leased, const Listed& listed);
  bool left(const std::string& host) const { return left_.count(host) != 0; }

  // What this member sees of hosts: what each costs, which fail, start anew, serve again.
  View see(const Board& board, const Watch& watch, const Listed& listed, const std::set<std::string>& by_hand,
           Millis now);

 private:
  struct Left {
    Millis started{0};      // as listed when it was taken
    bool vanished = false;  // it has left the list since
  };
  std::map<std::string, Left> left_;
  std::set<std::string> touched_;
};

}  // namespace lotusyard::works
