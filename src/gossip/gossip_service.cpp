#include "gossip/gossip_service.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "metrics/cluster_counters.h"

namespace lotusyard::gossip {
namespace {

using nlohmann::json;

constexpr Millis kObservationInterval{1000};
constexpr Millis kJoinPollInterval{200};
constexpr Millis kMinTimerDelay{1};
constexpr std::size_t kMaxMessageBytes = 1U << 20;

bool accepts_calls(const MemberRecord& record) {
  return is_present(record.status) && record.status != MemberStatus::joining;
}

}  // namespace

GossipService::GossipService(const InvokerServices& services, const raft::Config& config,
                             raft::RaftReplica& replica, FailureDetector detects_failure, LogSink log)
    : services_(services),
      config_(config),
      replica_(replica),
      detects_failure_(std::move(detects_failure)),
      log_(std::move(log)) {
  replica_.set_gossip_handler(
      [this](const std::string& sender, const std::string& body) { handle_message(sender, body); });
  start_protocol();
  observe_hosts();
}

GossipService::~GossipService() {
  replica_.set_gossip_handler({});
  services_.loop.cancel(period_timer_);
  services_.loop.cancel(observation_timer_);
}

// The protocol needs the replica's incarnation. A replica without a store has none until it has been admitted
// to its group.
void GossipService::start_protocol() {
  if (!replica_.is_member()) {
    period_timer_ = services_.loop.schedule_at(now() + kJoinPollInterval, [this] { start_protocol(); });
    return;
  }
  std::vector<std::string> seed_addresses;
  for (const auto& peer : config_.members)
    seed_addresses.push_back(peer.address);
  GossipTiming timing;
  timing.period = config_.view.value();
  incarnation_ = replica_.incarnation();
  const MemberRecord self{config_.member, config_.address, incarnation_, 0, MemberStatus::joining, {}};
  protocol_.emplace(self, seed_addresses, timing, std::random_device{}(), now());
  if (serving_)
    protocol_->serve(now());
  run_period();
}

void GossipService::leave() {
  if (!protocol_)
    return;
  protocol_->leave(now());
  send_outgoing();
}

void GossipService::serve() {
  const bool was_serving = std::exchange(serving_, true);
  if (!was_serving && protocol_)
    protocol_->serve(now());
}

void GossipService::run_period() {
  // The replica takes a new incarnation when the group has removed it and it joins again.
  if (replica_.incarnation() != incarnation_) {
    protocol_.reset();
    start_protocol();
    return;
  }
  const Millis tick_time = now();
  protocol_->tick(tick_time);
  send_outgoing();
  const Millis deadline = std::min(protocol_->next_deadline(), tick_time + config_.view.value());
  const Millis next = std::max(deadline, tick_time + kMinTimerDelay);
  period_timer_ = services_.loop.schedule_at(next, [this] { run_period(); });
}

void GossipService::observe_hosts() {
  observation_timer_ = services_.loop.schedule_at(now() + kObservationInterval, [this] { observe_hosts(); });
  if (!protocol_)
    return;
  std::set<std::string> listed;
  for (const auto& [id, host] : services_.endpoint_states.listed_hosts()) {
    listed.insert(id);
    protocol_->observe(id, host.entry.started.count(), !detects_failure_(id));
  }
  std::set<std::string> observers;
  for (const auto& [name, member] : protocol_->member_table().all()) {
    if (is_present(member.record.status))
      observers.insert(name);
  }
  protocol_->metadata().retain(listed, observers);
}

void GossipService::handle_message(const std::string& sender, const std::string& body) {
  if (!protocol_)
    return;
  const auto message = body.size() > kMaxMessageBytes ? std::nullopt : decode_message(body);
  if (!message || message->self.name != sender) {
    services_.counters.add(metrics::kViewMalformed);
    return;
  }
  services_.counters.add(metrics::kViewHeard);
  protocol_->receive(now(), *message);
  send_outgoing();
}

void GossipService::send_outgoing() {
  for (const auto& outgoing : protocol_->take_outgoing()) {
    const bool sent = replica_.send_gossip(outgoing.address, encode_message(outgoing.message));
    services_.counters.add(sent ? metrics::kViewSent : metrics::kViewNotSent);
  }
  const auto changes = protocol_->take_changes();
  for (const auto& record : changes) {
    services_.counters.add(metrics::kViewStatus, name_of(record.status));
    log_change(record);
  }
  if (!changes.empty() && on_change_)
    on_change_();
}

void GossipService::log_change(const MemberRecord& record) {
  const bool superseded = protocol_->is_superseded() && record.name == config_.member;
  log_("of=" + record.name + " life=" + std::to_string(record.incarnation) + " standing=" +
       name_of(record.status) + (superseded ? " usurped: another process uses this name" : ""));
}

std::size_t GossipService::present_members() const {
  if (!protocol_)
    return 0;
  const auto& members = protocol_->member_table().all();
  const auto counts = [](const auto& entry) { return accepts_calls(entry.second.record); };
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), counts));
}

json GossipService::members_to_json() const {
  json members = json::object();
  for (const auto& [name, member] : protocol_->member_table().all()) {
    members[name] = {{"standing", name_of(member.record.status)},
                     {"life", member.record.incarnation},
                     {"round", member.record.refutation},
                     {"address", member.record.address},
                     {"for_ms", static_cast<std::int64_t>((now() - member.since).count())}};
  }
  return members;
}

json GossipService::hosts_to_json() const {
  json hosts = json::object();
  for (const auto& [id, host] : services_.endpoint_states.listed_hosts()) {
    hosts[id] = {{"fails_for", protocol_->metadata().failure_reports(id)}};
  }
  return hosts;
}

json GossipService::status_to_json() const {
  if (!protocol_) {
    return {{"member", config_.member}, {"members", json::object()}, {"hosts", json::object()}};
  }
  return {{"member", config_.member},
          {"doubts", protocol_->health_multiplier()},
          {"usurped", protocol_->is_superseded()},
          {"members", members_to_json()},
          {"hosts", hosts_to_json()}};
}

}  // namespace lotusyard::gossip
