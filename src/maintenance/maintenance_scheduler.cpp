#include "maintenance/maintenance_scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lotusyard::maintenance {
namespace {

using Kind = LogEntry::Kind;

constexpr Millis kUsualTau{60000};  // memory of the usual share of lost calls: longer than one host is away
constexpr double kFalls = 0.05;     // so much above the usual the share may rise before no further host goes
constexpr int kAhead = 2;           // so many times the hosts out at once are named ahead, to choose from

std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3g", value);
  return text;
}

LogEntry about(Kind kind, const MaintenanceState::HostProgress& host, std::string reason) {
  LogEntry out;
  out.kind = kind;
  out.job = host.job;
  out.host = host.key.id;
  out.selected_at_index = host.selected_at_index;
  out.reason = std::move(reason);
  return out;
}

}  // namespace

bool MaintenanceScheduler::has_quiesced(const MaintenanceState::MemberProgress& m, const std::string& host,
                                        std::uint64_t round, Millis now) const {
  if (!m.serves) return true;
  if (m.applied_index >= round && m.drained_hosts.count(host) != 0) return true;
  return now - m.last_heartbeat_at >= terms_.presumed_dead_after();
}

// Whether what it last said of hosts is of now.
bool MaintenanceScheduler::is_reporting(const MaintenanceState::MemberProgress& m, Millis now) const {
  return m.serves && m.has_reported && now - m.last_heartbeat_at <= terms_.presumed_dead_after();
}

std::optional<LogEntry> MaintenanceScheduler::next_release(const MaintenanceState& board, Millis now) {
  for (const auto& [id, h] : board.hosts()) {
    if (h.stage != HostStage::draining) continue;
    std::string over, silent;
    for (const auto& [name, m] : board.members()) {
      if (!has_quiesced(m, id, h.selected_at_index, now))
        over += (over.empty() ? "" : ", ") + name;
      else if (m.serves && m.drained_hosts.count(id) == 0)
        silent += (silent.empty() ? "" : ", ") + name;
    }
    if (over.empty())
      return about(Kind::release_to_operators, h,
                   silent.empty() ? "all members are done with it"
                                  : "the leases have run out of " + silent + "; all others are done");
    waiting_reasons_[h.job] = "host " + id + " is still used, or may be, by " + over;
  }
  return std::nullopt;
}

std::optional<LogEntry> MaintenanceScheduler::next_return(const MaintenanceState& board, Millis now) const {
  for (const auto& [id, h] : board.hosts()) {
    const MaintenanceJob& w = *board.find_job(h.job);
    const auto seen_by = [&](std::set<std::string> HostObservations::*what) {
      for (const auto& [name, m] : board.members()) {
        if (m.has_reported && (m.observations.*what).count(id) != 0) return name;
      }
      return std::string();
    };
    if (h.stage == HostStage::out_of_service) {
      const std::string by =
          w.bounds.restart_is_return ? seen_by(&HostObservations::restarted) : std::string();
      if (!by.empty()) return about(Kind::return_to_service, h, "it has started anew, says " + by);
      if (!h.overdue && now - h.since > w.bounds.max_time_out)
        return about(Kind::overdue, h,
                     "out for longer than " + figure(w.bounds.max_time_out.count() / 1000) + " s");
    }
    if (h.stage == HostStage::slow_start) {
      const std::string by = seen_by(&HostObservations::served);
      if (!by.empty()) return about(Kind::complete, h, "it has served a call of " + by);
    }
  }
  return std::nullopt;
}

// Hosts are named ahead, so that what a member without its lease leaves alone is never more than the works
// may have out, and the next one is there to be taken at once.
std::optional<LogEntry> MaintenanceScheduler::next_selection(const MaintenanceState& board) const {
  int room = board.max_hosts_in_progress(board.min_listed_hosts()) - board.hosts_in_progress();
  LogEntry out;
  out.kind = Kind::select_hosts;
  for (const auto& w : board.jobs()) {
    if (w.state != MaintenanceJob::State::running) continue;
    int named = 0;
    for (const auto& [id, h] : board.hosts()) named += h.job == w.id && h.stage == HostStage::selected;
    for (const auto& key : w.hosts) {
      const auto found = board.hosts().find(key.id);
      if (found == board.hosts().end() || found->second.stage != HostStage::waiting) continue;
      if (room <= 0 || named >= kAhead * w.bounds.max_out) break;
      out.hosts.push_back(key.id);
      ++named;
      --room;
    }
  }
  return out.hosts.empty() ? std::nullopt : std::optional<LogEntry>(out);
}

double MaintenanceScheduler::failed_share(const MaintenanceState& board, Millis now) const {
  double asked = 0, lost = 0;
  for (const auto& [name, m] : board.members()) {
    if (!is_reporting(m, now)) continue;
    asked += m.observations.calls_per_second;
    lost += m.observations.failed_per_second;
  }
  return asked > 0 ? std::min(1.0, lost / asked) : 0;
}

std::optional<double> MaintenanceScheduler::serving_value(const MaintenanceState& board,
                                                          const std::string& host, Millis now) const {
  std::optional<double> out;
  for (const auto& [name, m] : board.members()) {
    if (!is_reporting(m, now)) continue;
    const auto found = m.observations.serving_value.find(host);
    out = out.value_or(0) + (found == m.observations.serving_value.end() ? 0 : found->second);
  }
  return out;
}

std::string MaintenanceScheduler::obstacle(const MaintenanceState& board, const MaintenanceJob& work,
                                           Millis now) const {
  for (const auto& [id, h] : board.hosts()) {
    if (h.overdue) return "host " + id + " is " + h.reason + "; it is to come back first";
  }
  bool heard = false;
  for (const auto& [name, m] : board.members()) {
    if (!is_reporting(m, now)) continue;
    heard = true;
    for (const auto& id : m.observations.down) {
      const auto found = board.hosts().find(id);
      const bool ours = found != board.hosts().end() && counts_against_bounds(found->second.stage);
      if (!ours) return "host " + id + " is down unasked, says " + name;
    }
  }
  if (!heard) return "no member that serves calls tells what it sees";
  const double share = failed_share(board, now);
  if (share > usual_failed_share_ + kFalls)
    return "service falls: " + figure(share * 100) + "% of calls are lost, usually " +
           figure(usual_failed_share_ * 100) + "%";
  if (board.last_return_at().count() > 0 && now - board.last_return_at() < work.bounds.pause)
    return "a pause of " + figure(work.bounds.pause.count() / 1000) + " s after the last return";
  return {};
}

std::optional<LogEntry> MaintenanceScheduler::next_drain(const MaintenanceState& board,
                                                         const MaintenanceJob& work, Millis now) {
  if (work.state == MaintenanceJob::State::paused) {
    waiting_reasons_.emplace(work.id, "paused");
    return std::nullopt;
  }
  if (work.state != MaintenanceJob::State::running) return std::nullopt;
  const std::string held_up = obstacle(board, work, now);
  std::string why = held_up;
  const MaintenanceState::HostProgress* best = nullptr;
  double least = 0, next = -1;
  for (const auto& key : work.hosts) {
    const auto found = board.hosts().find(key.id);
    if (found == board.hosts().end() || found->second.stage != HostStage::selected) continue;
    const MaintenanceState::HostProgress& h = found->second;
    std::string not_now = board.exceeded_bound(work, key, board.min_listed_hosts());
    for (const auto& [name, m] : board.members()) {
      if (!m.serves || m.followed_index >= h.selected_at_index) continue;
      not_now = m.applied_index < h.selected_at_index
                    ? "member " + name + " does not follow: it is to come back or to leave"
                    : "an invoker of control node " + name + " may not know that " + key.id + " is next";
    }
    if (!not_now.empty()) {
      if (why.empty()) why = not_now;
      continue;
    }
    const double costs = serving_value(board, key.id, now).value_or(0);
    if (best != nullptr && costs >= least) {
      next = next < 0 ? costs : std::min(next, costs);
      continue;
    }
    if (best != nullptr) next = least;
    best = &h;
    least = costs;
  }
  if (best == nullptr || !held_up.empty()) {
    const auto open = [&](const auto& h) {
      return h.second.job == work.id && h.second.stage == HostStage::waiting;
    };
    const bool waits = std::any_of(board.hosts().begin(), board.hosts().end(), open);
    if (!why.empty())
      waiting_reasons_.emplace(work.id, why);
    else if (waits)
      waiting_reasons_.emplace(work.id, "as many hosts are in reach as may be");
    return std::nullopt;
  }
  return about(Kind::start_drain, *best,
               "its absence costs least now: " + figure(least) + " of worth a second" +
                   (next < 0 ? std::string(", the only one at hand") : ", the next one " + figure(next)));
}

std::optional<LogEntry> MaintenanceScheduler::next_entry(const MaintenanceState& board, Millis now) {
  waiting_reasons_.clear();
  const double share = failed_share(board, now);
  const bool calm = board.hosts_in_progress() == 0 || share < usual_failed_share_;
  if (usual_at_.count() == 0) usual_failed_share_ = share;
  // Danger: what the works themselves cost would soon count as usual.
  if (calm && usual_at_.count() > 0)
    usual_failed_share_ += (1 - std::exp(-((now - usual_at_) / kUsualTau))) * (share - usual_failed_share_);
  usual_at_ = now;
  if (auto entry = next_release(board, now)) return entry;
  if (auto entry = next_return(board, now)) return entry;
  if (auto entry = next_selection(board)) return entry;
  for (const auto& work : board.jobs()) {
    if (auto entry = next_drain(board, work, now)) return entry;
  }
  return std::nullopt;
}

}  // namespace lotusyard::maintenance
