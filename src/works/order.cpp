#include "works/order.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lotusyard::works {
namespace {

using Kind = Entry::Kind;

constexpr Millis kUsualTau{60000};  // memory of the usual share of lost calls: longer than one host is away
constexpr double kFalls = 0.05;     // so much above the usual the share may rise before no further host goes
constexpr int kAhead = 2;           // so many times the hosts out at once are named ahead, to choose from

std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3g", value);
  return text;
}

Entry about(Kind kind, const Board::Host& host, std::string reason) {
  Entry out;
  out.kind = kind;
  out.work = host.work;
  out.host = host.key.id;
  out.round = host.round;
  out.reason = std::move(reason);
  return out;
}

}  // namespace

bool Order::settled(const Board::Member& m, const std::string& host, std::uint64_t round, Millis now) const {
  if (!m.serves) return true;
  if (m.has >= round && m.drained.count(host) != 0) return true;
  return now - m.seen >= terms_.silent();
}

// Whether what it last said of hosts is of now.
bool Order::tells(const Board::Member& m, Millis now) const {
  return m.serves && m.told && now - m.seen <= terms_.silent();
}

std::optional<Entry> Order::touch(const Board& board, Millis now) {
  for (const auto& [id, h] : board.hosts()) {
    if (h.stage != Stage::leaving) continue;
    std::string over, silent;
    for (const auto& [name, m] : board.members()) {
      if (!settled(m, id, h.round, now))
        over += (over.empty() ? "" : ", ") + name;
      else if (m.serves && m.drained.count(id) == 0)
        silent += (silent.empty() ? "" : ", ") + name;
    }
    if (over.empty())
      return about(Kind::touch, h,
                   silent.empty() ? "all members are done with it"
                                  : "the leases have run out of " + silent + "; all others are done");
    waits_[h.work] = "host " + id + " is still used, or may be, by " + over;
  }
  return std::nullopt;
}

std::optional<Entry> Order::returns(const Board& board, Millis now) const {
  for (const auto& [id, h] : board.hosts()) {
    const Work& w = *board.work(h.work);
    const auto seen_by = [&](std::set<std::string> View::*what) {
      for (const auto& [name, m] : board.members()) {
        if (m.told && (m.view.*what).count(id) != 0) return name;
      }
      return std::string();
    };
    if (h.stage == Stage::out) {
      const std::string by = w.bounds.answers ? seen_by(&View::reborn) : std::string();
      if (!by.empty()) return about(Kind::returned, h, "it has started anew, says " + by);
      if (!h.late && now - h.since > w.bounds.away)
        return about(Kind::late, h, "out for longer than " + figure(w.bounds.away.count() / 1000) + " s");
    }
    if (h.stage == Stage::warming) {
      const std::string by = seen_by(&View::served);
      if (!by.empty()) return about(Kind::back, h, "it has served a call of " + by);
    }
  }
  return std::nullopt;
}

// Hosts are named ahead, so that what a member without its lease leaves alone is never more than the works
// may have out, and the next one is there to be taken at once.
std::optional<Entry> Order::name(const Board& board) const {
  int room = board.reach_most(board.listed()) - board.in_reach();
  Entry out;
  out.kind = Kind::name;
  for (const auto& w : board.works()) {
    if (w.state != Work::State::running) continue;
    int named = 0;
    for (const auto& [id, h] : board.hosts()) named += h.work == w.id && h.stage == Stage::named;
    for (const auto& key : w.hosts) {
      const auto found = board.hosts().find(key.id);
      if (found == board.hosts().end() || found->second.stage != Stage::waiting) continue;
      if (room <= 0 || named >= kAhead * w.bounds.out) break;
      out.hosts.push_back(key.id);
      ++named;
      --room;
    }
  }
  return out.hosts.empty() ? std::nullopt : std::optional<Entry>(out);
}

double Order::lost_share(const Board& board, Millis now) const {
  double asked = 0, lost = 0;
  for (const auto& [name, m] : board.members()) {
    if (!tells(m, now)) continue;
    asked += m.view.asked;
    lost += m.view.lost;
  }
  return asked > 0 ? std::min(1.0, lost / asked) : 0;
}

std::optional<double> Order::cost(const Board& board, const std::string& host, Millis now) const {
  std::optional<double> out;
  for (const auto& [name, m] : board.members()) {
    if (!tells(m, now)) continue;
    const auto found = m.view.cost.find(host);
    out = out.value_or(0) + (found == m.view.cost.end() ? 0 : found->second);
  }
  return out;
}

std::string Order::obstacle(const Board& board, const Work& work, Millis now) const {
  for (const auto& [id, h] : board.hosts()) {
    if (h.late) return "host " + id + " is " + h.reason + "; it is to come back first";
  }
  bool heard = false;
  for (const auto& [name, m] : board.members()) {
    if (!tells(m, now)) continue;
    heard = true;
    for (const auto& id : m.view.down) {
      const auto found = board.hosts().find(id);
      const bool ours = found != board.hosts().end() && away(found->second.stage);
      if (!ours) return "host " + id + " is down unasked, says " + name;
    }
  }
  if (!heard) return "no member that serves calls tells what it sees";
  const double share = lost_share(board, now);
  if (share > usual_lost_ + kFalls)
    return "service falls: " + figure(share * 100) + "% of calls are lost, usually " +
           figure(usual_lost_ * 100) + "%";
  if (board.last_back().count() > 0 && now - board.last_back() < work.bounds.pause)
    return "a pause of " + figure(work.bounds.pause.count() / 1000) + " s after the last return";
  return {};
}

std::optional<Entry> Order::take(const Board& board, const Work& work, Millis now) {
  if (work.state == Work::State::paused) {
    waits_.emplace(work.id, "paused");
    return std::nullopt;
  }
  if (work.state != Work::State::running) return std::nullopt;
  const std::string held_up = obstacle(board, work, now);
  std::string why = held_up;
  const Board::Host* best = nullptr;
  double least = 0, next = -1;
  for (const auto& key : work.hosts) {
    const auto found = board.hosts().find(key.id);
    if (found == board.hosts().end() || found->second.stage != Stage::named) continue;
    const Board::Host& h = found->second;
    std::string not_now = board.over_bounds(work, key, board.listed());
    for (const auto& [name, m] : board.members()) {
      if (!m.serves || m.followed >= h.round) continue;
      not_now = m.has < h.round
                    ? "member " + name + " does not follow: it is to come back or to leave"
                    : "an invoker of control node " + name + " may not know that " + key.id + " is next";
    }
    if (!not_now.empty()) {
      if (why.empty()) why = not_now;
      continue;
    }
    const double costs = cost(board, key.id, now).value_or(0);
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
      return h.second.work == work.id && h.second.stage == Stage::waiting;
    };
    const bool waits = std::any_of(board.hosts().begin(), board.hosts().end(), open);
    if (!why.empty())
      waits_.emplace(work.id, why);
    else if (waits)
      waits_.emplace(work.id, "as many hosts are in reach as may be");
    return std::nullopt;
  }
  return about(Kind::take, *best,
               "its absence costs least now: " + figure(least) + " of worth a second" +
                   (next < 0 ? std::string(", the only one at hand") : ", the next one " + figure(next)));
}

std::optional<Entry> Order::next(const Board& board, Millis now) {
  waits_.clear();
  const double share = lost_share(board, now);
  const bool calm = board.in_reach() == 0 || share < usual_lost_;
  if (usual_at_.count() == 0) usual_lost_ = share;
  // Danger: what the works themselves cost would soon count as usual.
  if (calm && usual_at_.count() > 0)
    usual_lost_ += (1 - std::exp(-((now - usual_at_) / kUsualTau))) * (share - usual_lost_);
  usual_at_ = now;
  if (auto entry = touch(board, now)) return entry;
  if (auto entry = returns(board, now)) return entry;
  if (auto entry = name(board)) return entry;
  for (const auto& work : board.works()) {
    if (auto entry = take(board, work, now)) return entry;
  }
  return std::nullopt;
}

}  // namespace lotusyard::works
