// Checks the safety rules of a raft group from the messages that its replicas send and the entries that they
// apply, over all their restarts.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "raft/libraft.h"

namespace lotusyard::test {

class RaftSafetyChecker {
 public:
  void on_sent(std::uint64_t from, std::uint64_t to, const raft_message& message);
  void on_applied(std::uint64_t index, const std::string& entry);
  void on_acknowledged(const std::string& entry) { acknowledged_.insert(entry); }
  // Only the first violation is retained.
  void report(const std::string& violation);

  // Empty: no rule was broken.
  const std::string& violation() const { return violation_; }
  // Entries that were reported to clients as committed.
  const std::set<std::string>& acknowledged() const { return acknowledged_; }

 private:
  void check_term(std::uint64_t replica, std::uint64_t term);
  void check_vote(std::uint64_t voter, std::uint64_t term, std::uint64_t candidate);
  void check_leader(std::uint64_t leader, std::uint64_t term);

  std::map<std::uint64_t, std::uint64_t> leaders_;                          // by term
  std::map<std::uint64_t, std::uint64_t> terms_;                            // latest, by replica
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> votes_;  // by replica and term
  std::map<std::uint64_t, std::string> log_;                                // applied entries by index
  std::set<std::string> acknowledged_;
  std::string violation_;
};

}  // namespace lotusyard::test
