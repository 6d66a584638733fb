// What members have seen of hosts: each record is one member's observation of one life of one host. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "view/record.h"

namespace lotusyard::view {

struct Fact {
  std::string host;
  double host_life = 0;  // when it started, as the list says; Unix milliseconds
  std::string observer;
  std::uint64_t observer_life = 0, stamp = 0;  // the stamp grows with each record of this observer's life
  bool usable = true;

  auto order() const { return std::tie(observer_life, stamp, usable); }
};

class Facts {
 public:
  static constexpr std::size_t hosts_most = 4096;
  enum class Took { news, known, refused };
  // An observation of a later life of the host outdoes all of earlier ones; of one life each observer's
  // latest counts. That is a lattice: order and repetition change nothing.
  Took merge(const Fact& fact);
  // The tables shrink here alone: hosts that are listed no more, observers that are gone.
  void keep(const std::set<std::string>& listed, const std::set<std::string>& observers);

  std::vector<Fact> all() const;
  const Fact* find(const std::string& host, const std::string& observer) const;
  std::size_t against(const std::string& host) const;  // how many members see that life of it fail
  std::size_t hosts() const { return hosts_.size(); }

 private:
  struct Host {
    double life = 0;
    std::map<std::string, Fact> by;  // observer
  };
  std::map<std::string, Host> hosts_;
};

}  // namespace lotusyard::view
