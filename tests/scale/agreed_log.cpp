#include "scale/agreed_log.h"

namespace lotusyard::test {

AgreedLog::AgreedLog(control::Records initial, bool keeps_states) : keeps_states_(keeps_states) {
  changes_.push_back(first_index);
  states_[first_index] = std::make_shared<const control::Records>(std::move(initial));
}

const LogEntry& AgreedLog::append(double now, control::Change change, std::vector<NodeReport> reports) {
  const Index index = last() + 1;
  if (!change.empty()) {
    auto next = std::make_shared<control::Records>(*states_.rbegin()->second);
    control::apply(*next, change);
    if (!keeps_states_)
      states_.clear();
    states_[index] = std::move(next);
    changes_.push_back(index);
  }
  entries_.push_back({index, now, std::move(change), std::move(reports)});
  return entries_.back();
}

Index AgreedLog::last_change(Index index) const {
  const auto next = std::upper_bound(changes_.begin(), changes_.end(), index);
  return next == changes_.begin() ? 0 : *std::prev(next);
}

std::vector<Index> AgreedLog::changes_between(Index after, Index until) const {
  const auto begin = std::upper_bound(changes_.begin(), changes_.end(), after);
  const auto end = std::upper_bound(changes_.begin(), changes_.end(), until);
  return begin < end ? std::vector<Index>(begin, end) : std::vector<Index>();
}

std::shared_ptr<const control::Records> AgreedLog::state(Index index) const {
  const auto found = states_.find(last_change(index));
  return found == states_.end() ? nullptr : found->second;
}

}  // namespace lotusyard::test
