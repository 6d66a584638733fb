#include "control/control_node.h"

#include <algorithm>
#include <cmath>

#include "core/fault_injection.h"
#include "metrics/control_counters.h"

namespace lotusyard::control {
namespace {

constexpr double kForwardsPerSecond = 20;  // words that one link may forward
constexpr double kForwardsAtOnce = 40;
constexpr double kSecondInMillis = 1000;
// Terms are compared as exactly as they travel.
constexpr double kDurationUnit = 1e-3;  // milliseconds
constexpr double kDriftUnit = 1e-6;
constexpr Index kSkippedByFault = 7;  // a planted fault leaves out every seventh index

bool same_duration(Millis one, Millis other) { return std::abs((one - other).count()) < kDurationUnit; }
bool same_terms(const raft::LeaseTerms& one, const raft::LeaseTerms& other) {
  return same_duration(one.lease, other.lease) &&
         same_duration(one.max_attempt_time, other.max_attempt_time) &&
         same_duration(one.max_offline, other.max_offline) &&
         std::abs(one.clock_drift - other.clock_drift) < kDriftUnit;
}

}  // namespace

ControlNode::ControlNode(Config config, Transport& transport, metrics::Counters& counters, Millis started)
    : config_(std::move(config)),
      transport_(transport),
      counters_(counters),
      changes_(config_.changes),
      sessions_(config_.terms, config_.sessions, changes_, started) {}

void ControlNode::reset(Index index, Records records) {
  changes_.reset(index, std::move(records));
  pump_all();
}

void ControlNode::applied(Index index, const Change& change) {
  changes_.append(index, change);
  if (!change.empty())
    pump_all();  // most entries of the log are not for the invokers
}

void ControlNode::set_nodes(std::vector<NodeAddress> nodes) {
  const auto is_self = [this](const NodeAddress& node) { return node.name == config_.self.name; };
  nodes.erase(std::remove_if(nodes.begin(), nodes.end(), is_self), nodes.end());
  nodes_ = std::move(nodes);
}

void ControlNode::opened(LinkId id) {
  Link link;
  link.forwards = kForwardsAtOnce;
  links_[id] = link;
}

void ControlNode::received(LinkId id, Message&& message, Millis now) {
  const auto found = links_.find(id);
  if (found == links_.end())
    return;  // it has been ended here
  Link& link = found->second;
  const bool is_open = link.session != 0;
  const auto* open = std::get_if<Open>(&message);
  if (is_open == (open != nullptr))
    return fault(id, metrics::kControlMalformed);
  if (open != nullptr)
    return on_open(id, link, *open, now);
  if (const auto* renew = std::get_if<Renew>(&message))
    return on_renew(id, link, *renew, now);
  if (const auto* resume = std::get_if<Resume>(&message))
    return on_resume(id, link, *resume);
  if (const auto* forward = std::get_if<Forward>(&message))
    return on_forward(link, *forward, now);
  if (std::holds_alternative<Close>(message))
    return on_close(id, link, now);
  fault(id, metrics::kControlMalformed);  // only nodes send the others
}

void ControlNode::malformed(LinkId id) {
  if (links_.count(id) != 0)
    fault(id, metrics::kControlMalformed);
}

void ControlNode::writable(LinkId id) {
  const auto found = links_.find(id);
  if (found != links_.end())
    pump(id, found->second);
}

void ControlNode::ended(LinkId id) {
  const auto found = links_.find(id);
  if (found == links_.end())
    return;
  link_of_.erase(found->second.session);
  sessions_.disconnected(found->second.session);
  links_.erase(found);
}

void ControlNode::tick(Millis now) { sessions_.expire(now); }

void ControlNode::leave() {
  leaving_ = true;
  while (!links_.empty())
    refuse(links_.begin()->first, RefusalReason::leaving, Millis(0));
}

void ControlNode::on_open(LinkId id, Link& link, const Open& open, Millis now) {
  if (open.version != protocol_version)
    return refuse(id, RefusalReason::other_version, Millis(0));
  if (open.cluster != config_.cluster)
    return refuse(id, RefusalReason::other_cluster, Millis(0));
  if (!same_terms(open.terms, config_.terms))
    return refuse(id, RefusalReason::other_terms, Millis(0));
  if (leaving_)
    return refuse(id, RefusalReason::leaving, Millis(0));
  const auto admission = sessions_.open(open.invoker, open.incarnation, open.position, now);
  if (admission.malformed)
    return fault(id, metrics::kControlMalformed);
  if (admission.session == 0)
    return refuse(id, admission.refusal, admission.retry_after);

  supersede(admission.session, id);
  link.session = admission.session;
  link.cursor = link.sent = open.position;
  link.forwards_at = now;
  counters_.add(metrics::kControlOpened);
  transport_.send(id, encode(Welcome{config_.self.name, config_.life, nodes_}));
  pump(id, link);
}

// The newer connection of a session wins; the session itself goes on.
void ControlNode::supersede(SessionTable::SessionId session, LinkId newer) {
  const auto older = link_of_.find(session);
  if (older != link_of_.end()) {
    counters_.add(metrics::kControlSuperseded);
    links_.erase(older->second);
    transport_.end(older->second);
  }
  link_of_[session] = newer;
}

void ControlNode::on_renew(LinkId id, Link& link, const Renew& renew, Millis now) {
  if (renew.sequence != link.renewed + 1)
    return fault(id, metrics::kControlMalformed);
  if (renew.applied > link.sent)
    return fault(id, metrics::kControlFuturePosition);
  if (!sessions_.report(link.session, renew.applied, renew.settled))
    return fault(id, metrics::kControlMalformed);
  link.renewed = renew.sequence;
  const Millis duration = sessions_.grant(link.session, lease_until_, now);
  counters_.add(duration.count() > 0 ? metrics::kControlGranted : metrics::kControlNotGranted);
  Grant grant{renew.sequence, duration};
  if (divide_ && duration.count() > 0)
    grant.share = divide_(link.session, sessions_.lease_until(link.session));
  transport_.send(id, encode(grant));
}

void ControlNode::on_resume(LinkId id, Link& link, const Resume& resume) {
  if (resume.position > link.sent)
    return fault(id, metrics::kControlFuturePosition);
  counters_.add(metrics::kControlResumed);
  link.cursor = resume.position;
  link.snapshot.reset();
  pump(id, link);
}

void ControlNode::on_forward(Link& link, const Forward& forward, Millis now) {
  const double gained = (now - link.forwards_at).count() / kSecondInMillis * kForwardsPerSecond;
  link.forwards = std::min(kForwardsAtOnce, link.forwards + gained);
  link.forwards_at = now;
  if (link.forwards < 1)
    return counters_.add(metrics::kControlForwardsDropped);
  --link.forwards;
  counters_.add(metrics::kControlForwarded);
  if (forwarded_)
    forwarded_(link.session, forward);
}

void ControlNode::on_close(LinkId id, const Link& link, Millis now) {
  counters_.add(metrics::kControlClosed);
  sessions_.closed(link.session, now);
  drop(id);
}

void ControlNode::refuse(LinkId id, RefusalReason reason, Millis retry_after) {
  counters_.add(metrics::kControlRefused, name_of(reason));
  transport_.send(id, encode(Refusal{reason, retry_after, nodes_}));
  drop(id);
}

void ControlNode::fault(LinkId id, const metrics::Counter& counter) {
  counters_.add(counter);
  drop(id);
}

void ControlNode::drop(LinkId id) {
  ended(id);
  transport_.end(id);
}

void ControlNode::pump_all() {
  for (auto& [id, link] : links_)
    pump(id, link);
}

void ControlNode::pump(LinkId id, Link& link) {
  if (link.session == 0)
    return;
  while (transport_.has_room(id)) {
    if (link.snapshot == nullptr && needs_snapshot(link)) {
      counters_.add(metrics::kControlSnapshots);
      link.snapshot = changes_.snapshot();
      link.snapshot_sent = 0;
    }
    if (link.snapshot != nullptr) {
      send_chunk(id, link);
    } else if (!send_delta(id, link)) {
      return;
    }
  }
}

bool ControlNode::needs_snapshot(const Link& link) const {
  const bool holds_nothing = link.cursor == 0;
  return changes_.applied() > 0 && (holds_nothing || link.cursor < changes_.first());
}

void ControlNode::send_chunk(LinkId id, Link& link) {
  const ChangeLog::Snapshot& snapshot = *link.snapshot;
  SnapshotChunk chunk{snapshot.index, link.snapshot_sent, snapshot.bytes.size(), {}};
  chunk.bytes = snapshot.bytes.substr(link.snapshot_sent, config_.snapshot_chunk);
  transport_.send(id, encode(chunk));
  link.snapshot_sent += chunk.bytes.size();
  if (link.snapshot_sent < snapshot.bytes.size())
    return;
  link.cursor = snapshot.index;
  link.sent = std::max(link.sent, snapshot.index);
  link.snapshot.reset();
}

bool ControlNode::send_delta(LinkId id, Link& link) {
  const ChangeLog::Entry* entry = changes_.next_after(link.cursor);
  if (entry == nullptr)
    return false;
  const bool skips = fault_injected("skip-delta") && entry->index % kSkippedByFault == 0;
  if (!skips)
    transport_.send(id, entry->frame);
  link.cursor = entry->index;
  link.sent = std::max(link.sent, entry->index);
  return true;
}

}  // namespace lotusyard::control
