#include "raft/raft_safety_checker.h"

namespace lotusyard::test {

void RaftSafetyChecker::on_sent(std::uint64_t from, std::uint64_t to, const raft_message& message) {
  switch (message.type) {
    case RAFT_IO_APPEND_ENTRIES:
      check_term(from, message.append_entries.term);
      check_leader(from, message.append_entries.term);
      break;
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      check_term(from, message.append_entries_result.term);
      break;
    case RAFT_IO_REQUEST_VOTE:
      if (message.request_vote.pre_vote)
        return;  // a pre-vote starts no term
      check_term(from, message.request_vote.term);
      check_vote(from, message.request_vote.term, from);
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      if (message.request_vote_result.pre_vote == raft_tribool_true)
        return;
      check_term(from, message.request_vote_result.term);
      if (message.request_vote_result.vote_granted)
        check_vote(from, message.request_vote_result.term, to);
      break;
    default:
      break;
  }
}

void RaftSafetyChecker::on_applied(std::uint64_t index, const std::string& entry) {
  const auto first = log_.try_emplace(index, entry).first;
  if (first->second != entry)
    report("two entries at index " + std::to_string(index));
}

void RaftSafetyChecker::report(const std::string& violation) {
  if (violation_.empty())
    violation_ = violation;
}

void RaftSafetyChecker::check_term(std::uint64_t replica, std::uint64_t term) {
  if (term < terms_[replica])
    report("the term decreases at " + std::to_string(replica));
  terms_[replica] = term;
}

void RaftSafetyChecker::check_vote(std::uint64_t voter, std::uint64_t term, std::uint64_t candidate) {
  const auto first = votes_.try_emplace({voter, term}, candidate).first;
  if (first->second != candidate)
    report("two votes in one term");
  first->second = candidate;
}

void RaftSafetyChecker::check_leader(std::uint64_t leader, std::uint64_t term) {
  const auto first = leaders_.try_emplace(term, leader).first;
  if (first->second != leader)
    report("two leaders in one term");
  first->second = leader;
}

}  // namespace lotusyard::test
