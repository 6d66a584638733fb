// Observations of hosts that members share by gossip. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "gossip/member_record.h"

namespace lotusyard::gossip {

// What one member has observed of one incarnation of one host.
struct HostObservation {
  std::string host;
  double host_incarnation = 0;  // start time of the host in the endpoint list; Unix milliseconds
  std::string observer;
  std::uint64_t observer_incarnation = 0;
  std::uint64_t sequence = 0;  // grows with each observation within the observer's incarnation
  bool usable = true;

  auto precedence() const { return std::tie(observer_incarnation, sequence, usable); }
};

// For each host, the latest observation of every member. Merging is a join in a lattice, so the order and
// repetition of messages have no influence on the result.
class MemberMetadata {
 public:
  static constexpr std::size_t kMaxHosts = 4096;
  enum class MergeResult { updated, unchanged, rejected };

  // Merges one observation. An observation of a later incarnation of the host replaces all of earlier ones;
  // within an incarnation the latest of each observer is kept. Rejected: there are kMaxHosts others already.
  MergeResult merge(const HostObservation& observation);

  // Removes hosts that are not in `listed` and observations of members that are not in `observers`. Nothing
  // else removes entries.
  void retain(const std::set<std::string>& listed, const std::set<std::string>& observers);

  std::vector<HostObservation> all() const;
  // Null if there is none; valid until the next merge or retain.
  const HostObservation* find(const std::string& host, const std::string& observer) const;
  // Number of members that report the latest known incarnation of the host as not usable.
  std::size_t failure_reports(const std::string& host) const;
  // Number of hosts with entries.
  std::size_t hosts() const { return hosts_.size(); }

 private:
  struct Host {
    double incarnation = 0;
    std::map<std::string, HostObservation> by_observer;
  };
  std::map<std::string, Host> hosts_;
};

}  // namespace lotusyard::gossip
