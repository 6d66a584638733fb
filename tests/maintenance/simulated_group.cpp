#include "maintenance/simulated_group.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>

namespace lotusyard::test {

SimulatedGroup::SimulatedGroup(std::uint64_t seed, int members, int hosts)
    : random_(seed), host_count_(hosts) {
  terms_.lease = Millis(1000);
  terms_.max_attempt_time = Millis(400);
  for (int i = 0; i < members; ++i) {
    SimulatedMember member;
    member.name = std::string(1, static_cast<char>('a' + i));
    // The rates of any two differ by at most 1%.
    member.clock_rate = 1 + (static_cast<double>(below(random_, 201)) - 100) / 20000;
    member.clock_offset = static_cast<double>(below(random_, 100000));
    members_.push_back(member);
  }
  for (auto& member : members_)
    start_lease(member);
  scheduler_.emplace(terms_);
}

std::string SimulatedGroup::run(int steps) {
  append(add_job(make_job(host_count_, 2)));
  for (int i = 0; i < steps && violation_.empty(); ++i) {
    step();
    if (i % 40 == 39)
      disturb();
  }
  return violation_;
}

void SimulatedGroup::step() {
  now_ += 5;
  for (auto& member : members_) {
    if (member.running && member.reachable && below(random_, 3) == 0)
      apply_log(member);
    if (member.running && below(random_, 2) == 0)
      call_host(member);
    send_heartbeat(member);
  }
  if (below(random_, 4) == 0)
    run_leader();
  check_calls();
}

void SimulatedGroup::append(const LogEntry& entry) {
  // Entries go through the log in their serialized form.
  const auto parsed = maintenance::parse_entry(maintenance::encode_entry(entry));
  REQUIRE(parsed);
  log_.push_back(*parsed);
}

void SimulatedGroup::apply_log(SimulatedMember& member) {
  for (; member.applied < log_.size(); ++member.applied) {
    const LogEntry& entry = log_[member.applied];
    member.state.apply(member.applied + 1, entry, clock(member));
    const auto* record = std::get_if<maintenance::RecordHeartbeats>(&entry.command);
    if (record == nullptr)
      continue;
    for (const auto& heartbeat : record->heartbeats) {
      if (heartbeat.member == member.name && heartbeat.incarnation == member.incarnation)
        member.lease->renew(heartbeat.sent_at);
    }
  }
}

bool SimulatedGroup::may_use(const SimulatedMember& member, const std::string& host) const {
  if (!member.running || !member.lease->was_ever_held())
    return false;
  const bool holds_lease = faults.ignores_lease || member.lease->is_held(clock(member));
  return member.state.hosts_to_avoid(holds_lease).count(host) == 0;
}

void SimulatedGroup::call_host(SimulatedMember& member) {
  const std::string host = "h" + std::to_string(below(random_, static_cast<std::size_t>(host_count_)));
  if (may_use(member, host))
    member.calls[host] = now_ + 1 + static_cast<double>(below(random_, 400));
}

void SimulatedGroup::send_heartbeat(SimulatedMember& member) {
  if (!member.running || now_ < member.next_heartbeat_at)
    return;
  member.next_heartbeat_at = now_ + terms_.heartbeat_interval().count();
  const bool leader_is_reachable = leader().running && leader().reachable;
  if (!member.reachable || !leader_is_reachable)
    return;
  const auto known = member.state.members().find(member.name);
  if (known == member.state.members().end() || known->second.incarnation != member.incarnation)
    return rejoin(member);
  received_heartbeats_[member.name] = make_heartbeat_of(member);
}

void SimulatedGroup::rejoin(const SimulatedMember& member) {
  if (leader().state.last_incarnation(member.name) < member.incarnation)
    append(join(member.name, member.incarnation));
}

maintenance::Heartbeat SimulatedGroup::make_heartbeat_of(SimulatedMember& member) {
  maintenance::Heartbeat heartbeat =
      make_heartbeat(member.name, member.incarnation, member.state.index(), host_count_);
  heartbeat.sent_at = clock(member).count();
  for (const auto& [id, host] : member.state.hosts()) {
    const bool is_out = host.stage == HostStage::draining || host.stage == HostStage::out_of_service;
    const bool is_idle = member.calls.count(id) == 0 || member.calls[id] <= now_;
    const bool is_drained = is_idle && member.lease->earlier_attempts_ended(clock(member));
    if (is_out && (faults.ignores_drain || is_drained))
      heartbeat.drained_hosts.insert(id);
    if (host.stage == HostStage::slow_start)
      heartbeat.observations->served.insert(id);
    heartbeat.observations->serving_value[id] = static_cast<double>(below(random_, 10));
  }
  return heartbeat;
}

void SimulatedGroup::run_leader() {
  SimulatedMember& member = leader();
  if (!member.running || !member.reachable || member.applied < leads_from_index_)
    return;
  if (!received_heartbeats_.empty()) {
    std::vector<maintenance::Heartbeat> heartbeats;
    for (const auto& [name, heartbeat] : received_heartbeats_)
      heartbeats.push_back(heartbeat);
    received_heartbeats_.clear();
    return append(record_heartbeats(heartbeats));
  }
  if (const auto next = scheduler_->next_entry(member.state, clock(member)))
    append(*next);
}

void SimulatedGroup::elect_leader() {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (!members_[i].running || !members_[i].reachable || i == leader_)
      continue;
    leader_ = i;
    scheduler_.emplace(terms_);
    received_heartbeats_.clear();
    leads_from_index_ = log_.size();
    return;
  }
}

void SimulatedGroup::disturb() {
  SimulatedMember& member = members_[below(random_, members_.size())];
  const std::size_t disturbance = below(random_, 5);
  if (disturbance == 0)
    member.reachable = !member.reachable;
  if (disturbance == 1 && member.running)
    member.running = false;  // killed: its calls continue at the hosts
  else if (disturbance == 1)
    restart(member);
  if (!leader().running || !leader().reachable || below(random_, 6) == 0)
    elect_leader();
  return_random_host();
}

// The member still has its log, and applies it again in a new incarnation.
void SimulatedGroup::restart(SimulatedMember& member) {
  member.running = true;
  ++member.incarnation;
  for (const auto& [host, ends_at] : member.calls) {
    double& earlier = member.calls_of_earlier_incarnations[host];
    earlier = std::max(earlier, ends_at);
  }
  member.calls.clear();
  member.state = MaintenanceState();
  start_lease(member);
  for (std::size_t i = 0; i < member.applied; ++i)
    member.state.apply(i + 1, log_[i], clock(member));
}

// As an operator does after work on a host.
void SimulatedGroup::return_random_host() {
  const auto out = hosts_out_of_service();
  if (out.empty() || below(random_, 2) != 0)
    return;
  const auto position = static_cast<std::ptrdiff_t>(below(random_, out.size()));
  append(transition<maintenance::ReturnToService>(*std::next(out.begin(), position)));
}

std::set<std::string> SimulatedGroup::hosts_out_of_service() {
  for (; newest_applied_ < log_.size(); ++newest_applied_) {
    const LogEntry& entry = log_[newest_applied_];
    const bool done = newest_state_.apply(newest_applied_ + 1, entry, Millis(now_)).done;
    if (done && maintenance::holds<maintenance::ReleaseToOperators>(entry))
      ++released_hosts_;
  }
  std::set<std::string> out_of_service;
  int hosts_out = 0;
  for (const auto& [id, host] : newest_state_.hosts()) {
    if (host.stage == HostStage::out_of_service)
      out_of_service.insert(id);
    if (host.stage == HostStage::draining || host.stage == HostStage::out_of_service ||
        host.stage == HostStage::slow_start)
      ++hosts_out;
  }
  max_hosts_out_ = std::max(max_hosts_out_, hosts_out);
  return out_of_service;
}

void SimulatedGroup::check_calls() {
  for (const auto& host : hosts_out_of_service()) {
    for (const auto& member : members_)
      check_calls_to(host, member);
  }
}

void SimulatedGroup::check_calls_to(const std::string& host, const SimulatedMember& member) {
  for (const auto* calls : {&member.calls, &member.calls_of_earlier_incarnations}) {
    const auto call = calls->find(host);
    if (call != calls->end() && call->second > now_)
      violation_ = host + " may be touched and is used by " + member.name;
  }
}

}  // namespace lotusyard::test
