// What members have seen of hosts: each record is one member's observation of one life of one host. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "gossip/member_record.h"

namespace lotusyard::gossip {

struct HostObservation {
  std::string host;
  double host_incarnation = 0;  // when it started, as the list says; Unix milliseconds
  std::string observer;
  std::uint64_t observer_incarnation = 0,
                sequence = 0;  // the stamp grows with each record of this observer's life
  bool usable = true;

  auto order() const { return std::tie(observer_incarnation, sequence, usable); }
};

class MemberMetadata {
 public:
  static constexpr std::size_t max_hosts = 4096;
  enum class MergeResult { updated, unchanged, rejected };
  // An observation of a later life of the host outdoes all of earlier ones; of one life each observer's
  // latest counts. That is a lattice: order and repetition change nothing.
  MergeResult merge(const HostObservation& fact);
  // The tables shrink here alone: hosts that are listed no more, observers that are gone.
  void retain(const std::set<std::string>& listed, const std::set<std::string>& observers);

  std::vector<HostObservation> all() const;
  const HostObservation* find(const std::string& host, const std::string& observer) const;
  std::size_t failure_reports(const std::string& host) const;  // how many members see that life of it fail
  std::size_t hosts() const { return hosts_.size(); }

 private:
  struct Host {
    double incarnation = 0;
    std::map<std::string, HostObservation> by_observer;  // observer
  };
  std::map<std::string, Host> hosts_;
};

}  // namespace lotusyard::gossip
