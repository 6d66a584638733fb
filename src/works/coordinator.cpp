#include "works/coordinator.h"

#include <algorithm>
#include <cmath>
#include <iostream>

#include "config/json_read.h"
#include "core/breaks.h"
#include "works/admin_endpoint.h"

namespace lotusyard::works {
namespace {

using nlohmann::json;
using Kind = Entry::Kind;

constexpr int kViewEvery = 8;  // so many beats: what is seen is told again though it is as before
const std::string kPath = "/-/works/";

}  // namespace

Coordinator::Coordinator(const Wiring& wiring, const group::Config& config, group::Lease& lease, Note note)
    : wiring_(wiring),
      config_(config),
      lease_(lease),
      note_(std::move(note)),
      order_(config.terms),
      host_use_(wiring, note_) {}

Coordinator::~Coordinator() {
  for (const auto& timer : {beats_, turns_, lease_ends_, lives_}) wiring_.loop.cancel(timer);
}

void Coordinator::attach(group::Member& member) {
  member_ = &member;
  follow();
  beats_ = wiring_.loop.at(now(), [this] { beat(); });
  turns_ = wiring_.loop.at(now(), [this] { turn(); });
}

// ---- What this member uses ----

bool Coordinator::may_send(const std::string& host) {
  before_writes();
  return !host_use_.left(host) && lease_.ever();
}

// Danger: a process that was stopped for longer than its lease goes on where it was, with calls decided and
// not yet written.
void Coordinator::before_writes() {
  if (host_use_.leased() && !lease_.holds(now())) follow();
}

void Coordinator::follow() {
  Knowledge knowledge;
  knowledge.leased = !failed_ && (lease_.holds(now()) || (breaks("lease") && lease_.ever()));
  knowledge.held_back = config_.serves && !lease_.ever();
  wiring_.loop.cancel(lease_ends_);
  if (lease_.holds(now())) lease_ends_ = wiring_.loop.at(lease_.until(), [this] { follow(); });
  host_use_.follow(board_, knowledge);
  if (changed_) changed_();
}

void Coordinator::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  host_use_.attempt_ended(host, call, outcome);
}

// ---- What this member tells ----

void Coordinator::tell(const json& word) {
  if (!member_->tell_leader(*this, word.dump(-1, ' ', false, json::error_handler_t::replace)))
    wiring_.counters.add("works.no_leader");
}

void Coordinator::beat() {
  const Millis pace = config_.terms.beat();
  beats_ = wiring_.loop.at(now() + pace, [this] { beat(); });
  if (failed_ || !member_->in_group() || !config_.serves) return;
  const auto mine = board_.members().find(name());
  if (mine == board_.members().end() || mine->second.life != member_->life()) {
    pass_earlier_lives();
    Entry join;
    join.kind = Kind::join;
    join.member = name();
    join.life = member_->life();
    return tell({{"e", worded(join)}});
  }
  has_joined_ = true;
  Beat out{name(), member_->life(), now().count(), board_.index(), {}, host_use_.see(board_)};
  const auto others = represent_ ? std::optional<Represented>(represent_()) : std::nullopt;
  if (others) {
    out.has = std::min(out.has, others->applied);
    out.followed = std::min(out.has, others->followed);
  }
  if (merge_views_) out.view = merge_views_(std::move(*out.view));
  out.drained = drained(others ? &*others : nullptr);
  json worded_out = worded_beat(out);
  std::string seen = worded_out["v"].dump();
  if (seen == told_view_ && ++untold_ < kViewEvery) {
    worded_out.erase("v");
  } else {
    told_view_ = std::move(seen);
    untold_ = 0;
  }
  tell({{"b", worded_out}});
}

// A member that lost its store takes its life from the clock; set back since, that is less than the log
// knows, and it would never be let in. Only before the first join of this process: two processes of one name
// would outdo each other for ever.
void Coordinator::pass_earlier_lives() {
  const std::uint64_t last = board_.last_life(name());
  if (has_joined_ || last < member_->life()) return;
  try {
    const std::uint64_t life = member_->new_life(last);
    wiring_.counters.add("works.lives_passed");
    note_("life=" + std::to_string(life) + " starts: an earlier one is in the log as " +
          std::to_string(last));
  } catch (const std::exception& fault) { failed(fault.what()); }
}

std::set<std::string> Coordinator::drained(const Represented* others) const {
  std::set<std::string> out;
  for (const auto& [id, h] : board_.hosts()) {
    const bool gone = h.stage == Stage::leaving || h.stage == Stage::out;
    if (!gone || !host_use_.left(id)) continue;
    const bool free = lease_.earlier_ended(now()) && wiring_.fleet.free_of_calls(id);
    const bool others_free = others == nullptr || others->settled >= h.round;
    if ((free && others_free) || breaks("drain")) out.insert(id);
  }
  return out;
}

// ---- What was agreed upon ----

void Coordinator::applied(std::uint64_t index, const std::string& wording) {
  const auto entry = read_entry(wording);
  if (!entry) {
    wiring_.counters.add("works.unreadable");
    return failed("entry " + std::to_string(index) + " of the log is of another version of the program");
  }
  const auto outcome = board_.apply(index, *entry, now());
  wiring_.counters.add("works.entries");
  if (entry->kind == Kind::beats) {
    for (const auto& beat : entry->beats) {
      // Danger: a sign of life that was on its way when the member was said to be gone, or began another
      // life.
      const auto mine = board_.members().find(beat.member);
      const bool holds = mine != board_.members().end() && mine->second.life == beat.life;
      if (beat.member != name()) continue;
      const bool this_life = member_ != nullptr && beat.life == member_->life();
      if (holds && this_life) lease_.agreed(beat.stamp);
      // The log keeps what an earlier process of this member read off the clock.
      if (!this_life) wiring_.loop.remember_wall(Millis(beat.stamp));
    }
    if (!host_use_.leased()) return follow();
    return changed_ ? changed_() : void();
  }
  // What came again under one proposal has had its outcome.
  if (entry->kind == Kind::ask || outcome.index != index) return;
  ++changes_;
  note_entry(*entry, outcome);
  // Before `attach` the log of earlier lives is applied: this one is a new one in any case.
  const bool left = outcome.done && entry->kind == Kind::leave && entry->member == name();
  if (left && member_ != nullptr) begin_anew();
  follow();
  // One step leads to the next at once.
  if (member_ != nullptr && member_->leads()) {
    wiring_.loop.cancel(turns_);
    turns_ = wiring_.loop.at(now(), [this] { turn(); });
  }
}

void Coordinator::note_entry(const Entry& e, const Board::Outcome& outcome) {
  note_(std::string(name_of(e.kind)) + (outcome.done ? "" : " refused") +
        (e.work.empty() ? "" : " work=" + e.work) + (e.host.empty() ? "" : " host=" + e.host) +
        (e.added ? " work=" + e.added->id : "") + (e.member.empty() ? "" : " of=" + e.member) +
        (e.kind == Kind::alter ? std::string(" state=") + name_of(e.state) : "") + " reason=\"" +
        (outcome.done ? e.reason : outcome.why) + '"');
}

// It was taken for gone for good, and is not.
void Coordinator::begin_anew() {
  lease_ = group::Lease(config_.terms, now());
  take_new_life();
}

// A life that is not kept is not told: a store that fails for now is asked again.
void Coordinator::take_new_life() {
  try {
    note_("life=" + std::to_string(member_->new_life()) + " starts: this member was said to be gone");
  } catch (const group::StoreError& fault) {
    if (!fault.transient()) return failed(fault.what());
    wiring_.loop.cancel(lives_);
    lives_ = wiring_.loop.at(now() + config_.terms.beat(), [this] { take_new_life(); });
  } catch (const std::exception& fault) { failed(fault.what()); }
}

std::string Coordinator::snapshot() {
  return board_.snapshot().dump(-1, ' ', false, json::error_handler_t::replace);
}

bool Coordinator::restore(const std::string& from) {
  if (from.empty()) return true;
  const json read = json::parse(from, nullptr, false);
  ++changes_;
  return read.is_object() && board_.restore(read, now());
}

void Coordinator::failed(const std::string& why) {
  if (std::exchange(failed_, true)) return;
  std::cerr << "lotusyard: " << why << std::endl;
  lease_.lost();
  wiring_.loop.at(now(), [this] { follow(); });
}

// ---- What operators ask ----

std::optional<console::Said> Coordinator::asked(const console::Request& request) {
  const bool get = request.method == "GET", post = request.method == "POST";
  if (request.path == "/-/works")
    return get ? console::Said{200, shown_works(board_, name()).dump()} : console::Said{405, "GET"};
  if (request.path.compare(0, kPath.size(), kPath) != 0) return std::nullopt;
  const std::string rest = request.path.substr(kPath.size());
  const auto slash = rest.find('/');
  const std::string verb = rest.substr(0, slash),
                    what = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (verb == "propose") {
    if (!post) return console::Said{405, "POST"};
    const Proposal read = read_proposal(what, wiring_.membership.hosts());
    if (!read.entry) return read.refused;
    const bool told = member_->tell_leader(*this, json{{"e", worded(*read.entry)}}.dump());
    return told ? console::Said{202, "taken"} : console::Said{503, "nobody is known to lead"};
  }
  if (verb != "outcome") return std::nullopt;
  if (!get) return console::Said{405, "GET"};
  const auto* outcome = board_.outcome(what);
  if (outcome == nullptr)
    return console::Said{404, "not known here, as of index " + std::to_string(board_.index())};
  return console::Said{200, shown_outcome(*outcome).dump()};
}

}  // namespace lotusyard::works
