// What a connection to a host says, and its end.
#include <algorithm>
#include <vector>

#include "hosts/host_connection.h"
#include "metrics/host_counters.h"
#include "net/fields.h"

namespace lotusyard::hosts {
namespace {

using core::Outcome;
using net::field;

constexpr std::size_t kPastMost = 2048;

const std::map<std::string, Outcome>& outcomes() {
  static const std::map<std::string, Outcome> words = {{"data", Outcome::ok},
                                                       {"absent", Outcome::no_instance},
                                                       {"full", Outcome::at_capacity},
                                                       {"failed", Outcome::error},
                                                       {"moot", Outcome::never_ran}};
  return words;
}
bool known_word(const std::string& word) { return outcomes().count(word) != 0; }

}  // namespace

// A late or second answer would end a further attempt under the same ref: that goes elsewhere.
void HostConnectionPool::HostConnection::remember_ended(const std::string& ref, bool answered) {
  const Millis now = fleet_.loop_.now();
  while (!past_order_.empty() &&
         (now - past_order_.front().first > fleet_.limits_.past_kept || past_order_.size() > kPastMost)) {
    past_.erase(past_order_.front().second);
    past_order_.pop_front();
  }
  if (past_.emplace(ref, answered).second)
    past_order_.emplace_back(now, ref);
}

void HostConnectionPool::HostConnection::on_connected() {
  heard_ = fleet_.loop_.now();
  fleet_.counters_.add(metrics::kHostsLinksUp);
  fleet_.backoff_.succeeded();
  fleet_.loop_.flush_later(*this);
  arm_idle_timer();
}

void HostConnectionPool::HostConnection::finish_query(const Query& asked, Outcome outcome, int copies,
                                                      core::Report report) {
  const Millis elapsed = fleet_.loop_.now() - asked.at;
  if (asked.kind == Query::Kind::load) {
    fleet_.dispatcher_->load_ended({host_, asked.function, outcome, elapsed, copies});
  } else if (asked.kind == Query::Kind::probe) {
    fleet_.dispatcher_->probe_ended({host_, outcome, elapsed, std::move(report)});
  }
}

void HostConnectionPool::HostConnection::on_received(std::string_view bytes) {
  heard_ = fleet_.loop_.now();
  suspect_ = false;
  std::vector<Reply> replies;
  bool sound = parser_.parse(bytes, replies);
  for (auto& reply : replies) {
    if (handle_reply(std::move(reply)))
      continue;     // also when the connection ends meanwhile: it came whole
    sound = false;  // what follows it proves no more than it does
    break;
  }
  if (!parser_.begun()) {
    begun_ = Millis(0);
  } else if (begun_.count() == 0 || !replies.empty()) {
    begun_ = heard_;
  }
  fleet_.account_incoming(*this, held_, parser_.held());
  held_ = parser_.held();
  if (!sound) {
    fleet_.counters_.add(metrics::kHostsMalformed);
    close_later();
  }
  arm_idle_timer();
}

// False if it is spoilt: whatever is out on the link then ends as what it is, something that may have run.
bool HostConnectionPool::HostConnection::handle_reply(Reply&& reply) {
  const auto fields = net::parse_fields(reply.fields);
  const bool plain = std::all_of(reply.id.begin(), reply.id.end(),
                                 [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z'); });
  const bool sign = reply.word == "well" || reply.word == "ill";
  if (!fields || !plain || !(known_word(reply.word) || sign))
    return false;
  const net::Fields& read = *fields;
  if (const auto found = attempts_.find(reply.id); found != attempts_.end() && found->second.written) {
    if (sign)
      return false;
    const core::Attempt attempt = found->second.attempt;
    fleet_.record_answer_time(fleet_.loop_.now() - found->second.at);
    probes_unanswered_ = 0;
    attempts_.erase(found);
    fleet_.attempts_.erase(attempt);
    remember_ended(reply.id, true);
    const Outcome outcome = outcomes().at(reply.word);
    fleet_.counters_.add(metrics::kHostsAnswers, reply.word);
    const int host_concurrency =
        static_cast<int>(net::parse_whole(field(read, "crowd"), 1000000).value_or(0));
    fleet_.dispatcher_->attempt_ended(
        attempt, {outcome, std::min(host_concurrency, 30), fleet_.parse_report(field(read, "l")),
                  std::move(reply.body)});
  } else if (const auto answered = queries_.find(reply.id);
             answered != queries_.end() && answered->second.written) {
    const Query asked = answered->second;
    fleet_.loop_.cancel(asked.timer);
    queries_.erase(answered);
    const Outcome outcome = reply.word == "well"  ? Outcome::ok
                            : reply.word == "ill" ? Outcome::error
                                                  : outcomes().at(reply.word);
    const int copies = static_cast<int>(net::parse_whole(field(read, "count"), 1000).value_or(0));
    finish_query(asked, outcome, copies, fleet_.parse_report(field(read, "l")));
  } else if (const auto ended = past_.find(reply.id); ended != past_.end() && !ended->second) {
    ended->second = true;
    fleet_.counters_.add(metrics::kHostsLateAnswers);  // to an attempt dropped meanwhile
  } else {
    // More than belongs to it: what is out here keeps its own answers, nothing new is sent.
    fleet_.counters_.add(metrics::kHostsSurplusAnswers);
    retire(false);
  }
  return true;
}

// The connection was never made, for this machine's sake: what stands here waits for another one.
void HostConnectionPool::HostConnection::hand_back(const std::deque<PendingWrite>& pending) {
  fleet_.backoff_.failed(fleet_.loop_.now());
  for (const PendingWrite& one : pending) {
    if (one.kind == PendingWrite::Kind::attempt) {
      const core::Attempt attempt = attempts_.at(one.name).attempt;
      const core::Call* call = fleet_.dispatcher_->find_call(attempt.call);
      if (call == nullptr)
        continue;
      attempts_.erase(one.name);
      fleet_.attempts_.erase(attempt);
      fleet_.wait_for_connection(attempt, host_, *call, one.until);
    } else if (const auto found = queries_.find(one.name); found != queries_.end()) {
      const Query asked = found->second;
      if (asked.kind == Query::Kind::liveness)
        continue;
      fleet_.loop_.cancel(asked.timer);
      queries_.erase(found);
      const bool order = asked.kind == Query::Kind::load;
      fleet_.wait_with(order ? WaitingSend::Kind::load_order : WaitingSend::Kind::probe, host_,
                       asked.function, asked.copies);
    }
  }
}

void HostConnectionPool::HostConnection::on_closed() {
  fleet_.loop_.cancel(timer_);
  fleet_.loop_.cancel(stuck_);
  fleet_.loop_.cancel(check_);
  fleet_.loop_.cancel(again_);
  fleet_.loop_.cancel(stuck_exec_);
  const auto pending = std::exchange(pending_writes_, {});
  fleet_.account_incoming(*this, std::exchange(held_, 0), 0);
  fleet_.connection_closed(*this);  // buried: this object lives to the turn's end
  const auto& error = connect_error();
  if (error && error->kind == net::ConnectErrorKind::local_resource && !retired_)
    hand_back(pending);
  const auto attempts = std::move(attempts_);
  const auto asked = std::move(queries_);
  attempts_.clear();
  queries_.clear();
  const auto outcome = [&](bool put, std::uint64_t end) {
    return put && send_queue().written() >= end ? Outcome::reset : Outcome::connect_failed;
  };
  for (const auto& [ref, sent] : attempts)
    fleet_.attempts_.erase(sent.attempt);
  if (!attempts.empty())
    fleet_.hosts_.at(host_).has_cancelled_calls = true;
  for (const auto& [ref, sent] : attempts) {
    fleet_.dispatcher_->attempt_ended(sent.attempt,
                                      {outcome(sent.written, sent.end_offset), 0, std::nullopt, {}});
  }
  for (const auto& [tag, a] : asked) {
    fleet_.loop_.cancel(a.timer);
    finish_query(a, outcome(a.written, a.end_offset), 0, std::nullopt);
  }
}

}  // namespace lotusyard::hosts
