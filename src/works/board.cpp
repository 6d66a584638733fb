#include "works/board.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::works {
namespace {

using nlohmann::json;
using Kind = Entry::Kind;

constexpr const char* kStages[] = {"waiting", "named", "leaving", "out", "warming", "back"};
constexpr double kRounding = 1e-9;

int most_away(double usable, int listed) {
  return static_cast<int>(std::floor((1 - usable) * listed + kRounding));
}

}  // namespace

bool away(Stage s) { return s == Stage::leaving || s == Stage::out || s == Stage::warming; }
const char* name_of(Stage stage) { return kStages[static_cast<std::size_t>(stage)]; }

Work* Board::find(const std::string& id) {
  const auto found = std::find_if(works_.begin(), works_.end(), [&](const Work& w) { return w.id == id; });
  return found == works_.end() ? nullptr : &*found;
}
const Work* Board::work(const std::string& id) const { return const_cast<Board*>(this)->find(id); }

const Board::Outcome* Board::outcome(const std::string& proposal) const {
  const auto found = outcomes_.find(proposal);
  return found == outcomes_.end() ? nullptr : &found->second;
}

std::uint64_t Board::last_life(const std::string& member) const {
  const auto found = lives_.find(member);
  return found == lives_.end() ? 0 : found->second;
}

Board::Outcome Board::apply(std::uint64_t index, const Entry& entry, Millis now) {
  index_ = index;
  // An operator's proposal that came twice holds once: its answer may have been lost.
  if (!entry.proposal.empty()) {
    if (const Outcome* before = outcome(entry.proposal)) return *before;
  }
  const std::string why = change(entry, now);
  const Outcome out{why.empty(), why, index};
  if (!entry.proposal.empty()) keep_outcome(entry.proposal, out);
  return out;
}

// Bounds the table of outcomes; the one place where it shrinks.
void Board::keep_outcome(const std::string& proposal, const Outcome& outcome) {
  outcomes_[proposal] = outcome;
  outcome_order_.push_back(proposal);
  while (outcome_order_.size() > outcomes_most) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
}

std::string Board::change(const Entry& e, Millis now) {
  switch (e.kind) {
    case Kind::ask: return {};
    case Kind::beats:
      for (const auto& beat : e.beats) {
        const auto found = members_.find(beat.member);
        if (found == members_.end() || found->second.life != beat.life) continue;
        Member& m = found->second;
        m.has = std::max(m.has, beat.has);
        m.followed = std::max(m.followed, beat.followed.value_or(beat.has));
        m.drained = beat.drained;
        m.seen = now;
        if (beat.view) m.view = *beat.view;
        m.told = m.told || beat.view.has_value();
      }
      waits_ = e.reason;
      return {};
    case Kind::join:
      if (e.member.empty() || e.life <= last_life(e.member)) return "member: this life is not a new one";
      lives_[e.member] = e.life;
      members_[e.member] = Member{e.life, e.serves, 0, 0, {}, {}, false, now};
      return {};
    case Kind::leave: return members_.erase(e.member) == 0 ? "member: no such member" : std::string();
    case Kind::add: return add(e, now);
    case Kind::alter:
    case Kind::bounds: return alter(e);
    case Kind::name:
      for (const auto& id : e.hosts) {
        const auto found = hosts_.find(id);
        if (found == hosts_.end() || found->second.stage != Stage::waiting) continue;
        if (work(found->second.work)->state != Work::State::running || in_reach() >= reach_most(listed()))
          continue;
        found->second.stage = Stage::named;
        found->second.round = index_;
        found->second.since = now;
      }
      return {};
    case Kind::take:
    case Kind::touch:
    case Kind::returned:
    case Kind::back:
    case Kind::late: return move_host(e, now);
  }
  return "unknown";
}

std::string Board::add(const Entry& e, Millis now) {
  if (!e.added) return "work: missing";
  const Work& w = *e.added;
  if (work(w.id) != nullptr) return "id: there is a work " + w.id + " already";
  if (w.bounds.out > static_cast<int>(w.hosts.size()))
    return "out: " + std::to_string(w.bounds.out) + " out at once of " + std::to_string(w.hosts.size()) +
           " hosts";
  if (listed() > 0 && most_away(w.bounds.usable, listed()) < 1)
    return "usable: of " + std::to_string(listed()) + " hosts none could ever be out";
  for (const auto& h : w.hosts) {
    const auto found = hosts_.find(h.id);
    if (found != hosts_.end()) return "hosts: " + h.id + " is in work " + found->second.work;
  }
  works_.push_back(w);
  works_.back().state = Work::State::running;
  for (const auto& h : w.hosts) {
    Host& host = hosts_[h.id];
    host.key = h;
    host.work = w.id;
    host.since = now;
  }
  return {};
}

std::string Board::alter(const Entry& e) {
  Work* w = find(e.work);
  if (w == nullptr) return "work: no work " + e.work;
  if (w->state == Work::State::done || w->state == Work::State::cancelled)
    return "work: " + e.work + " is " + name_of(w->state);
  if (e.kind == Kind::bounds) {
    if (!e.bounds) return "bounds: missing";
    if (e.bounds->out > static_cast<int>(w->hosts.size())) return "out: more than there are hosts";
    w->bounds = *e.bounds;
    return {};
  }
  if (e.state == Work::State::done) return "state: a work is done when its hosts are back";
  w->state = e.state;
  if (e.state != Work::State::cancelled) return {};
  // What nobody may touch yet is used again; what may have been touched stays out until it is returned.
  for (auto i = hosts_.begin(); i != hosts_.end();) {
    const bool goes = i->second.work == e.work && !i->second.touched;
    i = goes ? hosts_.erase(i) : std::next(i);
  }
  close_if_done(std::string(e.work));
  return {};
}

std::string Board::move_host(const Entry& e, Millis now) {
  const auto found = hosts_.find(e.host);
  if (found == hosts_.end()) return "host: " + e.host + " is in no work";
  Host& h = found->second;
  const auto at = [&](Stage stage) { return h.stage == stage; };
  const std::string stands = "host: " + e.host + " is " + name_of(h.stage);
  switch (e.kind) {
    case Kind::take: {
      if (!at(Stage::named) || h.round != e.round) return stands;
      const std::string why = take(h);
      if (!why.empty()) return why;
      break;
    }
    case Kind::touch:
      if (!at(Stage::leaving) || h.round != e.round) return stands;
      h.stage = Stage::out;
      h.touched = true;
      break;
    case Kind::returned:
      if (!at(Stage::out)) return stands;
      h.stage = Stage::warming;
      h.late = false;
      h.round = index_;
      break;
    case Kind::back:
      if (!at(Stage::warming)) return stands;
      h.stage = Stage::back;
      last_back_ = now;
      break;
    default:
      if (!at(Stage::out)) return stands;
      h.late = true;
      h.reason = e.reason;
      return {};
  }
  h.since = now;
  h.reason = e.reason;
  if (e.kind == Kind::back) close_if_done(std::string(h.work));
  return {};
}

std::string Board::take(Host& host) {
  const Work& w = *find(host.work);
  if (w.state != Work::State::running) return "work: " + w.id + " is " + name_of(w.state);
  // Danger: a member that does not know that this host may be next would go on using it without its lease.
  for (const auto& [name, m] : members_) {
    if (m.serves && m.followed < host.round)
      return "member " + name + " does not know that " + host.key.id + " is next";
  }
  const std::string over = over_bounds(w, host.key, listed());
  if (!over.empty()) return over;
  host.stage = Stage::leaving;
  host.round = index_;
  return {};
}

// A closed work's hosts belong to no work any more. Bounds the list of closed works; it shrinks here alone.
void Board::close_if_done(const std::string& id) {
  const auto open = [&](const auto& h) { return h.second.work == id && h.second.stage != Stage::back; };
  if (std::any_of(hosts_.begin(), hosts_.end(), open)) return;
  for (auto i = hosts_.begin(); i != hosts_.end();) i = i->second.work == id ? hosts_.erase(i) : std::next(i);
  if (Work* w = find(id); w->state != Work::State::cancelled) w->state = Work::State::done;
  const auto closed = [&](const Work& w) {
    const auto mine = [&](const auto& h) { return h.second.work == w.id; };
    return (w.state == Work::State::done || w.state == Work::State::cancelled) &&
           std::none_of(hosts_.begin(), hosts_.end(), mine);
  };
  while (std::count_if(works_.begin(), works_.end(), closed) > static_cast<std::ptrdiff_t>(closed_most))
    works_.erase(std::find_if(works_.begin(), works_.end(), closed));
}

std::set<std::string> Board::avoided(bool leased) const {
  std::set<std::string> out;
  for (const auto& [id, h] : hosts_) {
    if (h.stage == Stage::leaving || h.stage == Stage::out || (!leased && h.stage == Stage::named))
      out.insert(id);
  }
  return out;
}

int Board::listed() const {
  int least = 0;
  for (const auto& [name, m] : members_) {
    if (m.serves && m.told && m.view.listed > 0)
      least = least == 0 ? m.view.listed : std::min(least, m.view.listed);
  }
  return least;
}

int Board::in_reach() const {
  return static_cast<int>(std::count_if(hosts_.begin(), hosts_.end(), [](const auto& h) {
    return h.second.stage != Stage::waiting && h.second.stage != Stage::back;
  }));
}

int Board::reach_most(int listed) const {
  double usable = 0;
  for (const auto& w : works_) {
    if (w.state == Work::State::running || w.state == Work::State::paused)
      usable = std::max(usable, w.bounds.usable);
  }
  return most_away(usable, listed);
}

std::string Board::over_bounds(const Work& of, const HostKey& host, int listed) const {
  int out = 0, zone = 0, kind = 0;
  std::set<std::string> held;
  for (const auto& [id, h] : hosts_) {
    if (!away(h.stage)) continue;
    held.insert(h.work);
    ++out;
    zone += h.key.zone == host.zone;
    kind += h.key.kind == host.kind;
  }
  held.insert(of.id);
  for (const auto& w : works_) {
    if (held.count(w.id) == 0) continue;
    const Bounds& b = w.bounds;
    const auto says = [&](const char* what, int most) {
      return std::to_string(most) + ' ' + what + " may be out at once by work " + w.id + ", and are";
    };
    if (out >= b.out) return says("hosts", b.out);
    if (b.zone > 0 && zone >= b.zone) return says(("of zone " + host.zone).c_str(), b.zone);
    if (b.kind > 0 && kind >= b.kind) return says(("of kind " + host.kind).c_str(), b.kind);
    if (out >= most_away(b.usable, listed)) return says("of those listed", most_away(b.usable, listed));
  }
  return {};
}

json Board::snapshot() const {
  json works = json::array(), hosts = json::array(), members = json::array(), outcomes = json::array();
  for (const auto& w : works_) works.push_back(worded_work(w));
  for (const auto& [id, h] : hosts_) {
    hosts.push_back({{"id", id},
                     {"zone", h.key.zone},
                     {"kind", h.key.kind},
                     {"work", h.work},
                     {"reason", h.reason},
                     {"stage", static_cast<int>(h.stage)},
                     {"round", h.round},
                     {"late", h.late},
                     {"touched", h.touched}});
  }
  for (const auto& [name, m] : members_) {
    Beat beat{name, m.life, 0, m.has, m.drained, std::nullopt};
    if (m.told) beat.view = m.view;
    if (m.followed != m.has) beat.followed = m.followed;
    json row = worded_beat(beat);
    row["serves"] = m.serves;
    members.push_back(row);
  }
  for (const auto& id : outcome_order_) {
    const Outcome& o = outcomes_.at(id);
    outcomes.push_back({id, o.done, o.why, o.index});
  }
  return {{"index", index_},    {"works", works},  {"hosts", hosts},
          {"members", members}, {"lives", lives_}, {"outcomes", outcomes}};
}

bool Board::restore(const json& from, Millis now) {
  try {
    Board next;
    next.index_ = from.at("index").get<std::uint64_t>();
    next.lives_ = from.at("lives").get<std::map<std::string, std::uint64_t>>();
    next.last_back_ = now;  // later than it was: a pause grows, never shrinks
    for (const auto& row : from.at("works")) next.works_.push_back(read_work(row));
    for (const auto& row : from.at("hosts")) {
      const std::string id = row.at("id").get<std::string>();
      Host& h = next.hosts_[id];
      h.key = {id, row.at("zone").get<std::string>(), row.at("kind").get<std::string>()};
      h.work = row.at("work").get<std::string>();
      h.reason = row.at("reason").get<std::string>();
      const int stage = row.at("stage").get<int>();
      if (stage < 0 || stage > static_cast<int>(Stage::back) || next.find(h.work) == nullptr) return false;
      h.stage = static_cast<Stage>(stage);
      h.round = row.at("round").get<std::uint64_t>();
      h.late = row.at("late").get<bool>();
      h.touched = row.at("touched").get<bool>();
      h.since = now;
    }
    for (const auto& row : from.at("members")) {
      const auto beat = read_beat(row);
      if (!beat) return false;
      Member& m = next.members_[beat->member];
      m.life = beat->life;
      m.serves = row.at("serves").get<bool>();
      m.has = beat->has;
      m.followed = beat->followed.value_or(beat->has);
      m.drained = beat->drained;
      m.told = beat->view.has_value();
      m.seen = now;
      if (beat->view) m.view = *beat->view;
    }
    for (const auto& row : from.at("outcomes")) {
      next.keep_outcome(row.at(0).get<std::string>(), {row.at(1).get<bool>(), row.at(2).get<std::string>(),
                                                       row.at(3).get<std::uint64_t>()});
    }
    *this = std::move(next);
    return true;
  } catch (const std::exception&) { return false; }
}

}  // namespace lotusyard::works
