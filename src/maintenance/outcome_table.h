// The outcomes of operators' proposals, by proposal id. Does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace lotusyard::maintenance {

// Whether a command took effect.
struct ProposalOutcome {
  bool done = false;
  std::string why;          // why it was refused; empty if it took effect
  std::uint64_t index = 0;  // the log index of the command
};

// Keeps the most recent outcomes, so that a repeated proposal takes effect only once.
class OutcomeTable {
 public:
  static constexpr std::size_t kMaxOutcomes = 256;

  // Evicts the oldest outcome if the table is full.
  void add(const std::string& proposal, const ProposalOutcome& outcome);
  // Null if the proposal is unknown or has been evicted. Valid until the next `add`.
  const ProposalOutcome* find(const std::string& proposal) const;
  const std::deque<std::string>& proposals() const { return proposals_; }  // oldest first

 private:
  std::map<std::string, ProposalOutcome> outcomes_;
  std::deque<std::string> proposals_;
};

}  // namespace lotusyard::maintenance
