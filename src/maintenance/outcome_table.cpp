#include "maintenance/outcome_table.h"

namespace lotusyard::maintenance {

void OutcomeTable::add(const std::string& proposal, const ProposalOutcome& outcome) {
  outcomes_[proposal] = outcome;
  proposals_.push_back(proposal);
  while (proposals_.size() > kMaxOutcomes) {
    outcomes_.erase(proposals_.front());
    proposals_.pop_front();
  }
}

const ProposalOutcome* OutcomeTable::find(const std::string& proposal) const {
  const auto found = outcomes_.find(proposal);
  return found == outcomes_.end() ? nullptr : &found->second;
}

}  // namespace lotusyard::maintenance
