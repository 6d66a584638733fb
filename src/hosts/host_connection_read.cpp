// Handles answers of the host, and the closing of the connection.
#include <utility>
#include <vector>

#include "hosts/host_connection.h"
#include "metrics/host_counters.h"

namespace lotusyard::hosts {

using core::Outcome;

void HostConnection::on_connected() {
  connected_at_ = loop().now();
  silence_.record_received(connected_at_);
  services_.counters.add(metrics::kHostsLinksUp);
  services_.connect_backoff.record_success();
  loop().flush_later(*this);
  arm_idle_timer();
}

void HostConnection::on_received(std::string_view bytes) {
  silence_.record_received(loop().now());
  possibly_partitioned_ = false;
  std::vector<Reply> replies;
  bool is_malformed = !parser_.parse(bytes, replies);
  for (auto& reply : replies) {
    // Handled even if the connection is closed meanwhile: the reply has arrived in full.
    if (handle_reply(std::move(reply)) == ReplyCheck::valid)
      continue;
    is_malformed = true;
    break;  // what follows a malformed reply is not reliable either
  }
  silence_.record_parsed(parser_.has_partial_message(), !replies.empty());
  set_buffered_bytes(parser_.buffered_bytes());
  if (is_malformed) {
    services_.counters.add(metrics::kHostsMalformed);
    close_later();
  }
  arm_idle_timer();
}

// After a malformed reply the connection is closed, and the attempts in flight on it may have run.
HostConnection::ReplyCheck HostConnection::handle_reply(Reply&& reply) {
  std::optional<HostReply> decoded = decode_reply(std::move(reply), services_.limits.report_fields);
  if (!decoded)
    return ReplyCheck::malformed;
  const auto attempt = attempts_.find(decoded->id);
  if (attempt != attempts_.end() && attempt->second.progress.is_written()) {
    if (is_health_status(decoded->status))
      return ReplyCheck::malformed;
    complete_attempt(attempt, std::move(*decoded));
    return ReplyCheck::valid;
  }
  const auto query = queries_.find(decoded->id);
  if (query != queries_.end() && query->second.progress.is_written()) {
    complete_query(query, std::move(*decoded));
    return ReplyCheck::valid;
  }
  if (ended_refs_.accept_late_answer(decoded->id)) {
    services_.counters.add(metrics::kHostsLateAnswers);
    return ReplyCheck::valid;
  }
  // An unexpected answer: requests in flight may still be answered on this connection, but nothing new is
  // sent on it.
  services_.counters.add(metrics::kHostsSurplusAnswers);
  retire(UnsentRequests::keep);
  return ReplyCheck::valid;
}

void HostConnection::complete_attempt(Attempts::iterator found, HostReply&& reply) {
  const Millis now = loop().now();
  const InFlightAttempt answered = found->second;
  attempts_.erase(found);
  services_.response_times.record(now - answered.sent_at);
  silence_.record_attempt_answered();
  ended_refs_.add(reply.id, EndedRefs::State::answered, now, services_.limits.late_answer_window);
  services_.counters.add(metrics::kHostsAnswers, wire_word(reply.status));
  services_.listener.on_call_answered(*this, answered.sent_at, outcome_of(reply.status));
  services_.listener.on_attempt_answered(answered.attempt, {outcome_of(reply.status), reply.host_concurrency,
                                                            std::move(reply.report), std::move(reply.body)});
}

void HostConnection::complete_query(Queries::iterator found, HostReply&& reply) {
  const Query query = found->second;
  loop().cancel(query.timeout_timer);
  queries_.erase(found);
  finish_query(query, outcome_of(reply.status), reply.copies, std::move(reply.report));
  if (query.kind == Query::Kind::readiness)
    loop().flush_later(*this);  // calls may be waiting for it
}

void HostConnection::finish_query(const Query& query, Outcome outcome, int copies, core::Report report) {
  const Millis elapsed = loop().now() - query.sent_at;
  switch (query.kind) {
    case Query::Kind::load:
      return services_.listener.on_load_ended({host_, query.function, outcome, elapsed, copies});
    case Query::Kind::probe:
      return services_.listener.on_probe_ended({host_, outcome, elapsed, std::move(report)});
    case Query::Kind::liveness:
      return;  // only the arrival of an answer matters
    case Query::Kind::readiness:
      return services_.listener.on_readiness_checked(*this, query.sent_at, outcome);
  }
}

void HostConnection::set_buffered_bytes(std::size_t bytes) {
  services_.listener.on_buffered_bytes_changed(*this, buffered_bytes_, bytes);
  buffered_bytes_ = bytes;
}

void HostConnection::on_closed() {
  cancel_timers();
  const auto pending = std::exchange(pending_writes_, {});
  services_.listener.on_buffered_bytes_changed(*this, std::exchange(buffered_bytes_, 0), 0);
  services_.listener.on_connection_closed(*this);
  const auto& error = connect_error();
  if (error && error->kind == net::ConnectErrorKind::local_resource && !retired_)
    requeue_pending(pending);
  end_lost_requests();
}

// The connect failed for a local reason: the pending requests wait for another connection.
void HostConnection::requeue_pending(const std::deque<PendingWrite>& pending) {
  services_.connect_backoff.record_local_failure(loop().now());
  for (const auto& write : pending) {
    if (write.kind == PendingWrite::Kind::attempt) {
      requeue_attempt(write);
    } else {
      requeue_query(write.id);
    }
  }
}

void HostConnection::requeue_attempt(const PendingWrite& pending) {
  const core::Attempt attempt = attempts_.at(pending.id).attempt;
  const core::Call* call = services_.dispatcher->find_call(attempt.call);
  if (call == nullptr)
    return;
  attempts_.erase(pending.id);
  services_.listener.on_attempt_needs_connection(attempt, host_, *call, pending.deadline);
}

void HostConnection::requeue_query(const std::string& tag) {
  const auto found = queries_.find(tag);
  if (found == queries_.end())
    return;
  if (found->second.kind == Query::Kind::liveness || found->second.kind == Query::Kind::readiness)
    return;
  const Query query = found->second;
  loop().cancel(query.timeout_timer);
  queries_.erase(found);
  if (query.kind == Query::Kind::load)
    return services_.listener.on_load_needs_connection(host_, query.function, query.copies);
  services_.listener.on_probe_needs_connection(host_);
}

void HostConnection::end_lost_requests() {
  const auto attempts = std::exchange(attempts_, {});
  const auto queries = std::exchange(queries_, {});
  std::vector<HostConnectionListener::LostAttempt> lost;
  lost.reserve(attempts.size());
  for (const auto& [ref, sent] : attempts)
    lost.push_back({sent.attempt, lost_outcome(sent.progress)});
  services_.listener.on_attempts_lost(host_, lost);
  for (const auto& [tag, query] : queries) {
    loop().cancel(query.timeout_timer);
    finish_query(query, lost_outcome(query.progress), 0, std::nullopt);
  }
}

Outcome HostConnection::lost_outcome(const WriteProgress& progress) const {
  return progress.is_with_kernel(send_queue()) ? Outcome::reset : Outcome::connect_failed;
}

}  // namespace lotusyard::hosts
