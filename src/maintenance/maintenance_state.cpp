#include "maintenance/maintenance_state.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::maintenance {
namespace {

using nlohmann::json;
using Kind = LogEntry::Kind;

constexpr const char* kStages[] = {"waiting", "named", "leaving", "out", "warming", "back"};
constexpr double kRounding = 1e-9;

int most_away(double usable, int listed) {
  return static_cast<int>(std::floor((1 - usable) * listed + kRounding));
}

}  // namespace

bool counts_against_bounds(HostStage s) {
  return s == HostStage::draining || s == HostStage::out_of_service || s == HostStage::slow_start;
}
const char* name_of(HostStage stage) { return kStages[static_cast<std::size_t>(stage)]; }

MaintenanceJob* MaintenanceState::find_mutable_job(const std::string& id) {
  const auto found =
      std::find_if(jobs_.begin(), jobs_.end(), [&](const MaintenanceJob& w) { return w.id == id; });
  return found == jobs_.end() ? nullptr : &*found;
}
const MaintenanceJob* MaintenanceState::find_job(const std::string& id) const {
  return const_cast<MaintenanceState*>(this)->find_mutable_job(id);
}

const MaintenanceState::ProposalOutcome* MaintenanceState::find_outcome(const std::string& proposal) const {
  const auto found = outcomes_.find(proposal);
  return found == outcomes_.end() ? nullptr : &found->second;
}

std::uint64_t MaintenanceState::last_incarnation(const std::string& member) const {
  const auto found = incarnations_.find(member);
  return found == incarnations_.end() ? 0 : found->second;
}

MaintenanceState::ProposalOutcome MaintenanceState::apply(std::uint64_t index, const LogEntry& entry,
                                                          Millis now) {
  index_ = index;
  // An operator's proposal that came twice holds once: its answer may have been lost.
  if (!entry.proposal.empty()) {
    if (const ProposalOutcome* before = find_outcome(entry.proposal)) return *before;
  }
  const std::string why = apply_entry(entry, now);
  const ProposalOutcome out{why.empty(), why, index};
  if (!entry.proposal.empty()) remember_outcome(entry.proposal, out);
  return out;
}

// Bounds the table of outcomes; the one place where it shrinks.
void MaintenanceState::remember_outcome(const std::string& proposal, const ProposalOutcome& outcome) {
  outcomes_[proposal] = outcome;
  outcome_order_.push_back(proposal);
  while (outcome_order_.size() > max_outcomes) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
}

std::string MaintenanceState::apply_entry(const LogEntry& e, Millis now) {
  switch (e.kind) {
    case Kind::read_barrier: return {};
    case Kind::heartbeats:
      for (const auto& beat : e.heartbeats) {
        const auto found = members_.find(beat.member);
        if (found == members_.end() || found->second.incarnation != beat.incarnation) continue;
        MemberProgress& m = found->second;
        m.applied_index = std::max(m.applied_index, beat.applied_index);
        m.followed_index = std::max(m.followed_index, beat.followed_index.value_or(beat.applied_index));
        m.drained_hosts = beat.drained_hosts;
        m.last_heartbeat_at = now;
        if (beat.observations) m.observations = *beat.observations;
        m.has_reported = m.has_reported || beat.observations.has_value();
      }
      waiting_reason_ = e.reason;
      return {};
    case Kind::join:
      if (e.member.empty() || e.incarnation <= last_incarnation(e.member))
        return "member: this life is not a new one";
      incarnations_[e.member] = e.incarnation;
      members_[e.member] = MemberProgress{e.incarnation, e.serves, 0, 0, {}, {}, false, now};
      return {};
    case Kind::leave: return members_.erase(e.member) == 0 ? "member: no such member" : std::string();
    case Kind::add_job: return add_job(e, now);
    case Kind::change_job_state:
    case Kind::change_bounds: return change_job_state(e);
    case Kind::select_hosts:
      for (const auto& id : e.hosts) {
        const auto found = hosts_.find(id);
        if (found == hosts_.end() || found->second.stage != HostStage::waiting) continue;
        if (find_job(found->second.job)->state != MaintenanceJob::State::running ||
            hosts_in_progress() >= max_hosts_in_progress(min_listed_hosts()))
          continue;
        found->second.stage = HostStage::selected;
        found->second.selected_at_index = index_;
        found->second.since = now;
      }
      return {};
    case Kind::start_drain:
    case Kind::release_to_operators:
    case Kind::return_to_service:
    case Kind::complete:
    case Kind::overdue: return advance_host(e, now);
  }
  return "unknown";
}

std::string MaintenanceState::add_job(const LogEntry& e, Millis now) {
  if (!e.added_job) return "work: missing";
  const MaintenanceJob& w = *e.added_job;
  if (find_job(w.id) != nullptr) return "id: there is a work " + w.id + " already";
  if (w.bounds.max_out > static_cast<int>(w.hosts.size()))
    return "out: " + std::to_string(w.bounds.max_out) + " out at once of " + std::to_string(w.hosts.size()) +
           " hosts";
  if (min_listed_hosts() > 0 && most_away(w.bounds.min_usable_share, min_listed_hosts()) < 1)
    return "usable: of " + std::to_string(min_listed_hosts()) + " hosts none could ever be out";
  for (const auto& h : w.hosts) {
    const auto found = hosts_.find(h.id);
    if (found != hosts_.end()) return "hosts: " + h.id + " is in work " + found->second.job;
  }
  jobs_.push_back(w);
  jobs_.back().state = MaintenanceJob::State::running;
  for (const auto& h : w.hosts) {
    HostProgress& host = hosts_[h.id];
    host.key = h;
    host.job = w.id;
    host.since = now;
  }
  return {};
}

std::string MaintenanceState::change_job_state(const LogEntry& e) {
  MaintenanceJob* w = find_mutable_job(e.job);
  if (w == nullptr) return "work: no work " + e.job;
  if (w->state == MaintenanceJob::State::done || w->state == MaintenanceJob::State::cancelled)
    return "work: " + e.job + " is " + name_of(w->state);
  if (e.kind == Kind::change_bounds) {
    if (!e.bounds) return "bounds: missing";
    if (e.bounds->max_out > static_cast<int>(w->hosts.size())) return "out: more than there are hosts";
    w->bounds = *e.bounds;
    return {};
  }
  if (e.state == MaintenanceJob::State::done) return "state: a work is done when its hosts are back";
  w->state = e.state;
  if (e.state != MaintenanceJob::State::cancelled) return {};
  // What nobody may touch yet is used again; what may have been touched stays out until it is returned.
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    const bool goes = i->second.job == e.job && !i->second.released_to_operators;
    i = goes ? hosts_.erase(i) : std::next(i);
  }
  close_if_done(std::string(e.job));
  return {};
}

std::string MaintenanceState::advance_host(const LogEntry& e, Millis now) {
  const auto found = hosts_.find(e.host);
  if (found == hosts_.end()) return "host: " + e.host + " is in no work";
  HostProgress& h = found->second;
  const auto at = [&](HostStage stage) { return h.stage == stage; };
  const std::string stands = "host: " + e.host + " is " + name_of(h.stage);
  switch (e.kind) {
    case Kind::start_drain: {
      if (!at(HostStage::selected) || h.selected_at_index != e.selected_at_index) return stands;
      const std::string why = start_drain(h);
      if (!why.empty()) return why;
      break;
    }
    case Kind::release_to_operators:
      if (!at(HostStage::draining) || h.selected_at_index != e.selected_at_index) return stands;
      h.stage = HostStage::out_of_service;
      h.released_to_operators = true;
      break;
    case Kind::return_to_service:
      if (!at(HostStage::out_of_service)) return stands;
      h.stage = HostStage::slow_start;
      h.overdue = false;
      h.selected_at_index = index_;
      break;
    case Kind::complete:
      if (!at(HostStage::slow_start)) return stands;
      h.stage = HostStage::returned;
      last_return_at_ = now;
      break;
    default:
      if (!at(HostStage::out_of_service)) return stands;
      h.overdue = true;
      h.reason = e.reason;
      return {};
  }
  h.since = now;
  h.reason = e.reason;
  if (e.kind == Kind::complete) close_if_done(std::string(h.job));
  return {};
}

std::string MaintenanceState::start_drain(HostProgress& host) {
  const MaintenanceJob& w = *find_mutable_job(host.job);
  if (w.state != MaintenanceJob::State::running) return "work: " + w.id + " is " + name_of(w.state);
  // Danger: a member that does not know that this host may be next would go on using it without its lease.
  for (const auto& [name, m] : members_) {
    if (m.serves && m.followed_index < host.selected_at_index)
      return "member " + name + " does not know that " + host.key.id + " is next";
  }
  const std::string over = exceeded_bound(w, host.key, min_listed_hosts());
  if (!over.empty()) return over;
  host.stage = HostStage::draining;
  host.selected_at_index = index_;
  return {};
}

// A closed work's hosts belong to no work any more. Bounds the list of closed works; it shrinks here alone.
void MaintenanceState::close_if_done(const std::string& id) {
  const auto open = [&](const auto& h) {
    return h.second.job == id && h.second.stage != HostStage::returned;
  };
  if (std::any_of(hosts_.begin(), hosts_.end(), open)) return;
  for (auto i = hosts_.begin(); i != hosts_.end();) i = i->second.job == id ? hosts_.erase(i) : std::next(i);
  if (MaintenanceJob* w = find_mutable_job(id); w->state != MaintenanceJob::State::cancelled)
    w->state = MaintenanceJob::State::done;
  const auto closed = [&](const MaintenanceJob& w) {
    const auto mine = [&](const auto& h) { return h.second.job == w.id; };
    return (w.state == MaintenanceJob::State::done || w.state == MaintenanceJob::State::cancelled) &&
           std::none_of(hosts_.begin(), hosts_.end(), mine);
  };
  while (std::count_if(jobs_.begin(), jobs_.end(), closed) > static_cast<std::ptrdiff_t>(max_closed_jobs))
    jobs_.erase(std::find_if(jobs_.begin(), jobs_.end(), closed));
}

std::set<std::string> MaintenanceState::hosts_to_avoid(bool leased) const {
  std::set<std::string> out;
  for (const auto& [id, h] : hosts_) {
    if (h.stage == HostStage::draining || h.stage == HostStage::out_of_service ||
        (!leased && h.stage == HostStage::selected))
      out.insert(id);
  }
  return out;
}

int MaintenanceState::min_listed_hosts() const {
  int least = 0;
  for (const auto& [name, m] : members_) {
    if (m.serves && m.has_reported && m.observations.listed_hosts > 0)
      least = least == 0 ? m.observations.listed_hosts : std::min(least, m.observations.listed_hosts);
  }
  return least;
}

int MaintenanceState::hosts_in_progress() const {
  return static_cast<int>(std::count_if(hosts_.begin(), hosts_.end(), [](const auto& h) {
    return h.second.stage != HostStage::waiting && h.second.stage != HostStage::returned;
  }));
}

int MaintenanceState::max_hosts_in_progress(int listed) const {
  double usable = 0;
  for (const auto& w : jobs_) {
    if (w.state == MaintenanceJob::State::running || w.state == MaintenanceJob::State::paused)
      usable = std::max(usable, w.bounds.min_usable_share);
  }
  return most_away(usable, listed);
}

std::string MaintenanceState::exceeded_bound(const MaintenanceJob& of, const HostKey& host,
                                             int listed) const {
  int out = 0, zone = 0, kind = 0;
  std::set<std::string> held;
  for (const auto& [id, h] : hosts_) {
    if (!counts_against_bounds(h.stage)) continue;
    held.insert(h.job);
    ++out;
    zone += h.key.zone == host.zone;
    kind += h.key.kind == host.kind;
  }
  held.insert(of.id);
  for (const auto& w : jobs_) {
    if (held.count(w.id) == 0) continue;
    const DisruptionBounds& b = w.bounds;
    const auto says = [&](const char* what, int most) {
      return std::to_string(most) + ' ' + what + " may be out at once by work " + w.id + ", and are";
    };
    if (out >= b.max_out) return says("hosts", b.max_out);
    if (b.max_out_per_zone > 0 && zone >= b.max_out_per_zone)
      return says(("of zone " + host.zone).c_str(), b.max_out_per_zone);
    if (b.max_out_per_kind > 0 && kind >= b.max_out_per_kind)
      return says(("of kind " + host.kind).c_str(), b.max_out_per_kind);
    if (out >= most_away(b.min_usable_share, listed))
      return says("of those listed", most_away(b.min_usable_share, listed));
  }
  return {};
}

json MaintenanceState::snapshot() const {
  json works = json::array(), hosts = json::array(), members = json::array(), outcomes = json::array();
  for (const auto& w : jobs_) works.push_back(job_to_json(w));
  for (const auto& [id, h] : hosts_) {
    hosts.push_back({{"id", id},
                     {"zone", h.key.zone},
                     {"kind", h.key.kind},
                     {"work", h.job},
                     {"reason", h.reason},
                     {"stage", static_cast<int>(h.stage)},
                     {"round", h.selected_at_index},
                     {"late", h.overdue},
                     {"touched", h.released_to_operators}});
  }
  for (const auto& [name, m] : members_) {
    Heartbeat beat{name, m.incarnation, 0, m.applied_index, m.drained_hosts, std::nullopt};
    if (m.has_reported) beat.observations = m.observations;
    if (m.followed_index != m.applied_index) beat.followed_index = m.followed_index;
    json row = heartbeat_to_json(beat);
    row["serves"] = m.serves;
    members.push_back(row);
  }
  for (const auto& id : outcome_order_) {
    const ProposalOutcome& o = outcomes_.at(id);
    outcomes.push_back({id, o.done, o.why, o.index});
  }
  return {{"index", index_},    {"works", works},         {"hosts", hosts},
          {"members", members}, {"lives", incarnations_}, {"outcomes", outcomes}};
}

bool MaintenanceState::restore(const json& from, Millis now) {
  try {
    MaintenanceState next;
    next.index_ = from.at("index").get<std::uint64_t>();
    next.incarnations_ = from.at("lives").get<std::map<std::string, std::uint64_t>>();
    next.last_return_at_ = now;  // later than it was: a pause grows, never shrinks
    for (const auto& row : from.at("works")) next.jobs_.push_back(parse_job(row));
    for (const auto& row : from.at("hosts")) {
      const std::string id = row.at("id").get<std::string>();
      HostProgress& h = next.hosts_[id];
      h.key = {id, row.at("zone").get<std::string>(), row.at("kind").get<std::string>()};
      h.job = row.at("work").get<std::string>();
      h.reason = row.at("reason").get<std::string>();
      const int stage = row.at("stage").get<int>();
      if (stage < 0 || stage > static_cast<int>(HostStage::returned) ||
          next.find_mutable_job(h.job) == nullptr)
        return false;
      h.stage = static_cast<HostStage>(stage);
      h.selected_at_index = row.at("round").get<std::uint64_t>();
      h.overdue = row.at("late").get<bool>();
      h.released_to_operators = row.at("touched").get<bool>();
      h.since = now;
    }
    for (const auto& row : from.at("members")) {
      const auto beat = parse_heartbeat(row);
      if (!beat) return false;
      MemberProgress& m = next.members_[beat->member];
      m.incarnation = beat->incarnation;
      m.serves = row.at("serves").get<bool>();
      m.applied_index = beat->applied_index;
      m.followed_index = beat->followed_index.value_or(beat->applied_index);
      m.drained_hosts = beat->drained_hosts;
      m.has_reported = beat->observations.has_value();
      m.last_heartbeat_at = now;
      if (beat->observations) m.observations = *beat->observations;
    }
    for (const auto& row : from.at("outcomes")) {
      next.remember_outcome(
          row.at(0).get<std::string>(),
          {row.at(1).get<bool>(), row.at(2).get<std::string>(), row.at(3).get<std::uint64_t>()});
    }
    *this = std::move(next);
    return true;
  } catch (const std::exception&) { return false; }
}

}  // namespace lotusyard::maintenance
