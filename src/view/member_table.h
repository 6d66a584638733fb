// Everyone that one member knows of, and what it believes of each. Records are merged here alone, and the
// table shrinks here alone. No I/O; the time is passed in.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "view/pace.h"
#include "view/record.h"

namespace lotusyard::view {

class MemberTable {
 public:
  struct Known {
    Peer peer;
    Millis since{0};                 // when it came to this standing, as seen here
    std::set<std::string> accusers;  // while it is suspected
  };
  enum class Took { news, louder, known, refused };  // louder: one more member suspects it

  explicit MemberTable(const Pace& pace) : pace_(pace) {}
  Took merge(const Peer& peer, Millis now);
  // Those whose time to speak up is over. `stretch`: how many times longer a member that doubts itself waits.
  std::vector<Peer> unheard(Millis now, double stretch) const;
  Millis next_unheard(double stretch) const;
  void later(Millis by);  // this member saw nothing for so long: nobody's time ran meanwhile
  void forget(Millis now, const std::string& self);
  void forget_all_but(const std::string& self);

  const std::map<std::string, Known>& all() const { return all_; }
  const Peer* find(const std::string& name) const;
  std::size_t here_count() const { return here_; }

 private:
  const Pace& pace_;
  std::map<std::string, Known> all_;
  std::set<std::string> suspects_;
  std::size_t here_ = 0;

  Millis until(const Known& known, double stretch) const;
  void book(const Known& known, int by);  // in what is counted
  bool make_room();
};

}  // namespace lotusyard::view
