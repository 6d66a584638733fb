#include "control/control_node.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "control/message_codec.h"
#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

// Messages that one connection may forward to the replicated state machines.
constexpr double kForwardsPerSecond = 20;
constexpr double kForwardBurst = 40;

// Terms are compared to the precision in which they are sent.
constexpr double kDurationPrecision = 1e-3;  // milliseconds
constexpr double kDriftPrecision = 1e-6;

bool same_duration(Millis one, Millis other) { return std::abs((one - other).count()) < kDurationPrecision; }

bool same_terms(const raft::LeaseTerms& one, const raft::LeaseTerms& other) {
  return same_duration(one.lease, other.lease) &&
         same_duration(one.max_attempt_time, other.max_attempt_time) &&
         same_duration(one.max_offline, other.max_offline) &&
         std::abs(one.clock_drift - other.clock_drift) < kDriftPrecision;
}

}  // namespace

ControlNode::ControlNode(Config config, Transport& transport, metrics::Counters& counters, Millis started)
    : config_(std::move(config)),
      transport_(transport),
      counters_(counters),
      changes_(config_.changes),
      sessions_(config_.terms, config_.sessions, changes_, started),
      sender_(changes_, transport, counters, config_.snapshot_chunk) {}

void ControlNode::reset(Index index, Records records) {
  changes_.reset(index, std::move(records));
  send_pending_to_all();
}

void ControlNode::apply(Index index, const Change& change) {
  changes_.append(index, change);
  // Most entries of the log change no records.
  if (!change.empty())
    send_pending_to_all();
}

void ControlNode::set_nodes(std::vector<NodeAddress> nodes) {
  const auto is_self = [this](const NodeAddress& node) { return node.name == config_.self.name; };
  nodes.erase(std::remove_if(nodes.begin(), nodes.end(), is_self), nodes.end());
  nodes_ = std::move(nodes);
}

void ControlNode::on_connected(ConnectionId id) { connections_.add(id); }

void ControlNode::on_message(ConnectionId id, Message&& message, Millis now) {
  NodeConnection* connection = connections_.find(id);
  if (connection == nullptr)
    return;  // this node has closed it
  const auto* open = std::get_if<Open>(&message);
  const bool is_first = !connection->has_session();
  if (is_first != (open != nullptr))
    return close_faulty(id, metrics::kControlMalformed);
  if (open != nullptr)
    return on_open(id, *open, now);
  on_session_message(id, *connection, message, now);
}

void ControlNode::on_session_message(ConnectionId id, NodeConnection& connection, const Message& message,
                                     Millis now) {
  if (const auto* renew = std::get_if<Renew>(&message))
    return on_renew(id, connection, *renew, now);
  if (const auto* resume = std::get_if<Resume>(&message))
    return on_resume(id, connection, *resume);
  if (const auto* forward = std::get_if<Forward>(&message))
    return on_forward(connection, *forward, now);
  if (std::holds_alternative<Close>(message))
    return on_close(id, connection, now);
  close_faulty(id, metrics::kControlMalformed);  // only nodes send the others
}

void ControlNode::on_malformed(ConnectionId id) {
  if (connections_.find(id) != nullptr)
    close_faulty(id, metrics::kControlMalformed);
}

void ControlNode::on_writable(ConnectionId id) {
  NodeConnection* connection = connections_.find(id);
  if (connection != nullptr && connection->has_session())
    sender_.send_pending(id, connection->send_position);
}

void ControlNode::on_disconnected(ConnectionId id) {
  if (const auto session = connections_.remove(id))
    sessions_.disconnected(*session);
}

void ControlNode::shut_down() {
  is_draining_ = true;
  while (!connections_.empty())
    refuse(connections_.first(), RefusalReason::draining, Millis(0));
}

std::optional<RefusalReason> ControlNode::reason_to_refuse(const Open& open) const {
  if (open.version != kProtocolVersion)
    return RefusalReason::other_version;
  if (open.cluster != config_.cluster)
    return RefusalReason::other_cluster;
  if (!same_terms(open.terms, config_.terms))
    return RefusalReason::other_terms;
  if (is_draining_)
    return RefusalReason::draining;
  return std::nullopt;
}

void ControlNode::on_open(ConnectionId id, const Open& open, Millis now) {
  if (const auto reason = reason_to_refuse(open))
    return refuse(id, *reason, Millis(0));
  const auto admission = sessions_.open(open.invoker, open.incarnation, open.position, now);
  switch (admission.status) {
    case SessionTable::Admission::Status::admitted:
      return open_session(id, open, admission.session, now);
    case SessionTable::Admission::Status::refused:
      return refuse(id, admission.refusal, admission.retry_after);
    case SessionTable::Admission::Status::malformed:
      return close_faulty(id, metrics::kControlMalformed);
  }
}

void ControlNode::open_session(ConnectionId id, const Open& open, SessionTable::SessionId session,
                               Millis now) {
  if (const auto older = connections_.assign(id, session))
    supersede(*older);
  NodeConnection& connection = *connections_.find(id);
  connection.send_position = SendPosition(open.position);
  connection.forwards.emplace(kForwardsPerSecond, kForwardBurst, now);
  counters_.add(metrics::kControlOpened);
  transport_.send(id, encode(Welcome{config_.self.name, config_.incarnation, nodes_}));
  sender_.send_pending(id, connection.send_position);
}

// The session continues on the newer connection.
void ControlNode::supersede(ConnectionId older) {
  counters_.add(metrics::kControlSuperseded);
  transport_.close(older);
}

void ControlNode::on_renew(ConnectionId id, NodeConnection& connection, const Renew& renew, Millis now) {
  if (renew.sequence != connection.last_renewal + 1)
    return close_faulty(id, metrics::kControlMalformed);
  if (renew.applied > connection.send_position.max_sent())
    return close_faulty(id, metrics::kControlFuturePosition);
  if (!sessions_.report(connection.session, renew.applied, renew.quiesced_index))
    return close_faulty(id, metrics::kControlMalformed);
  connection.last_renewal = renew.sequence;
  send_grant(id, connection, now);
}

void ControlNode::send_grant(ConnectionId id, const NodeConnection& connection, Millis now) {
  Grant grant{connection.last_renewal, sessions_.grant(connection.session, lease_until_, now)};
  const bool is_granted = grant.duration.count() > 0;
  counters_.add(is_granted ? metrics::kControlGranted : metrics::kControlNotGranted);
  if (is_granted && share_source_)
    grant.share = share_source_(connection.session, sessions_.lease_until(connection.session));
  transport_.send(id, encode(grant));
}

void ControlNode::on_resume(ConnectionId id, NodeConnection& connection, const Resume& resume) {
  if (resume.position > connection.send_position.max_sent())
    return close_faulty(id, metrics::kControlFuturePosition);
  counters_.add(metrics::kControlResumed);
  connection.send_position.resume_after(resume.position);
  sender_.send_pending(id, connection.send_position);
}

void ControlNode::on_forward(NodeConnection& connection, const Forward& forward, Millis now) {
  if (!connection.forwards->take(now))
    return counters_.add(metrics::kControlForwardsDropped);
  counters_.add(metrics::kControlForwarded);
  if (forward_handler_)
    forward_handler_(connection.session, forward);
}

void ControlNode::on_close(ConnectionId id, const NodeConnection& connection, Millis now) {
  counters_.add(metrics::kControlClosed);
  sessions_.closed(connection.session, now);
  close(id);
}

void ControlNode::refuse(ConnectionId id, RefusalReason reason, Millis retry_after) {
  counters_.add(metrics::kControlRefused, name_of(reason));
  transport_.send(id, encode(Refusal{reason, retry_after, nodes_}));
  close(id);
}

void ControlNode::close_faulty(ConnectionId id, const metrics::Counter& counter) {
  counters_.add(counter);
  close(id);
}

void ControlNode::close(ConnectionId id) {
  on_disconnected(id);
  transport_.close(id);
}

void ControlNode::send_pending_to_all() {
  connections_.visit_sessions([this](ConnectionId id, NodeConnection& connection) {
    sender_.send_pending(id, connection.send_position);
  });
}

}  // namespace lotusyard::control
