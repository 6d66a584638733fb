#include "works/crew.h"

#include <algorithm>
#include <iostream>

#include "config/json_read.h"

namespace lotusyard::works {
namespace {

using nlohmann::json;
using Kind = Entry::Kind;

constexpr Millis kFlightMost{10000};  // a proposal that is not answered for so long is taken as lost
constexpr int kViewEvery = 8;         // so many beats: what is seen is told again though it is as before
const std::string kPath = "/-/works/";

const char* role_name(int role) {
  return role == RAFT_VOTER ? "votes" : role == RAFT_STANDBY ? "learns" : "waits";
}

// A build for the tests breaks the rule that its environment names, so that their checker is checked.
bool breaks(const char* rule) {
#ifdef LOTUSYARD_BREAKABLE
  static const std::string told = environment("LOTUSYARD_BREAKS");
  return told == rule;
#else
  (void)rule;
  return false;
#endif
}

bool usable(const core::Member& m) { return m.entry.state == robinfold::WorkerState::ready; }

}  // namespace

Crew::Crew(const Wiring& wiring, const group::Config& config)
    : wiring_(wiring),
      config_(config),
      order_(config.terms),
      lease_(config.terms, wiring.loop.now()),
      counted_at_(wiring.loop.now()),
      member_(wiring.loop, wiring.counters, config_, *this, [this](const std::string& line) { note(line); }) {
  built_ = true;
  follow();
  beats_ = wiring_.loop.at(now(), [this] { beat(); });
  turns_ = wiring_.loop.at(now(), [this] { turn(); });
  note("life=" + std::to_string(member_.life()) + " starts" + (config.serves ? "" : ", serves no calls"));
}

Crew::~Crew() {
  for (const auto& timer : {beats_, turns_, lease_ends_}) wiring_.loop.cancel(timer);
}

void Crew::note(const std::string& text) const {
  std::cout << "works at=" << static_cast<std::int64_t>(wiring_.loop.now().count())
            << " member=" << config_.member << " term=" << (built_ ? member_.term() : 0)
            << " index=" << board_.index() << ' ' << text << std::endl;
}

// ---- What this member uses ----

bool Crew::ready() const { return !config_.serves || (lease_.ever() && !failed_); }

bool Crew::may_send(const std::string& host) {
  before_writes();
  return left_.count(host) == 0 && lease_.ever();
}

// Danger: a process that was stopped for longer than its lease goes on where it was, with calls decided and
// not yet written.
void Crew::before_writes() {
  if (leased_ && !lease_.holds(now())) follow();
}

void Crew::follow() {
  const bool leased = !failed_ && (lease_.holds(now()) || (breaks("lease") && lease_.ever()));
  if (leased != leased_) {
    note(leased          ? "lease held"
         : lease_.ever() ? "lease over: hosts that may be next are left alone"
                         : "no lease yet");
    wiring_.counters.add(leased ? "works.leases" : "works.leases_over");
  }
  const bool ended = leased_ && !leased;
  leased_ = leased;
  wiring_.loop.cancel(lease_ends_);
  if (lease_.holds(now())) lease_ends_ = wiring_.loop.at(lease_.until(), [this] { follow(); });

  std::map<std::string, Left> left;
  for (const auto& host : board_.avoided(leased)) {
    const auto before = left_.find(host);
    if (before != left_.end()) {
      left[host] = before->second;
      continue;
    }
    const auto listed = wiring_.membership.listed(host);
    left[host].started = listed ? listed->entry.started : Millis(0);
    note("host=" + host + " is left alone");
  }
  std::set<std::string> anew, out;
  for (const auto& [host, was] : left_) {
    if (left.count(host) != 0) continue;
    if (touched_.erase(host) != 0) anew.insert(host);
    note("host=" + host + " is used again" + (anew.count(host) != 0 ? ", cold" : ""));
  }
  for (const auto& [host, was] : left) out.insert(host);
  left_ = std::move(left);
  for (const auto& [host, h] : board_.hosts()) {
    if (h.touched && left_.count(host) != 0) touched_.insert(host);
  }
  wiring_.membership.works(out, anew, now());
  wiring_.membership.hold_all(config_.serves && !lease_.ever());
  // What was decided while the lease held must not go out after it.
  for (const auto& host : out) {
    if (ended) wiring_.fleet.cut(host);
  }
}

void Crew::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  using core::Outcome;
  if (outcome == Outcome::ok) {
    const auto* cls = core::class_named(wiring_.settings(), call.class_name);
    watch_.served(host, call.function, cls == nullptr ? 1 : cls->worth, now());
  } else if (outcome == Outcome::connect_failed || outcome == Outcome::reset) {
    watch_.failed(host, now());
  }
}

View Crew::view() {
  View out;
  const auto& counters = wiring_.counters;
  const double taken = static_cast<double>(counters.value("calls.taken"));
  const double lost = static_cast<double>(counters.value("calls.refused") + counters.value("calls.failed"));
  const double seconds = std::max(0.001, (now() - counted_at_).count() / 1000);
  out.asked = std::round((taken - taken_) / seconds);
  out.lost = std::round((lost - lost_) / seconds);
  taken_ = taken;
  lost_ = lost;
  counted_at_ = now();
  for (const auto& [id, member] : wiring_.membership.hosts()) {
    ++out.listed;
    if (board_.hosts().count(id) != 0) out.cost[id] = std::round(watch_.cost(id, now()) * 100) / 100;
    const bool by_hand = wiring_.membership.out().count(id) != 0;
    if (left_.count(id) == 0 && (!usable(member) || by_hand || watch_.down(id, now()))) out.down.insert(id);
  }
  for (const auto& [id, h] : board_.hosts()) {
    const auto left = left_.find(id);
    const auto listed = wiring_.membership.listed(id);
    const bool there = listed && usable(*listed);
    if (h.stage == Stage::out && left != left_.end() && there &&
        (left->second.vanished || listed->entry.started > left->second.started))
      out.reborn.insert(id);
    if (h.stage == Stage::out && left != left_.end() && !listed) left->second.vanished = true;
    if (h.stage == Stage::warming && watch_.last_served(id) > h.since) out.served.insert(id);
  }
  return out;
}

// ---- What this member tells ----

void Crew::tell(const json& word) {
  if (!member_.tell_leader(word.dump(-1, ' ', false, json::error_handler_t::replace)))
    wiring_.counters.add("works.no_leader");
}

void Crew::beat() {
  const Millis pace = config_.terms.beat();
  beats_ = wiring_.loop.at(now() + pace, [this] { beat(); });
  if (failed_ || !member_.in_group() || !config_.serves) return;
  const auto mine = board_.members().find(name());
  if (mine == board_.members().end() || mine->second.life != member_.life()) {
    Entry join;
    join.kind = Kind::join;
    join.member = name();
    join.life = member_.life();
    return tell({{"e", worded(join)}});
  }
  Beat out{name(), member_.life(), now().count(), board_.index(), {}, view()};
  for (const auto& [id, h] : board_.hosts()) {
    const bool gone = h.stage == Stage::leaving || h.stage == Stage::out;
    if (!gone || left_.count(id) == 0) continue;
    const bool free = lease_.earlier_ended(now()) && wiring_.fleet.free_of_calls(id);
    if (free || breaks("drain")) out.drained.insert(id);
  }
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

// ---- What the one that leads does ----

void Crew::told(const std::string& word) {
  const json read = json::parse(word, nullptr, false);
  if (!read.is_object()) return wiring_.counters.add("works.malformed");
  if (const auto& b = config::key(read, "b"); !b.is_null()) {
    auto beat = read_beat(b);
    if (!beat) return wiring_.counters.add("works.malformed");
    Beat& held = heard_[beat->member];
    // What was seen and is not in the log yet goes with the newer sign of life.
    if (!beat->view && held.view && held.life == beat->life) beat->view = std::move(held.view);
    held = std::move(*beat);
    return;
  }
  const auto entry = read_entry(config::text(config::key(read, "e")));
  if (!entry) return wiring_.counters.add("works.malformed");
  if (!entry->proposal.empty() && board_.outcome(entry->proposal) != nullptr) return;
  if (entry->kind == Kind::join && entry->life <= board_.last_life(entry->member)) return;
  if (!member_.propose(worded(*entry))) wiring_.counters.add("works.not_proposed");
}

// Once what its predecessors agreed upon has been applied here.
bool Crew::lead() {
  if (!member_.leads()) return false;
  const std::uint64_t term = member_.term();
  if (led_term_ == term) return true;
  if (readying_term_ == term) return false;
  readying_term_ = term;
  heard_.clear();
  in_flight_ = false;
  Entry ask;
  const bool asked = member_.propose(worded(ask), [this, term](bool done) {
    if (!done) return;
    led_term_ = term;
    note("leads");
  });
  if (!asked) readying_term_ = 0;
  return false;
}

void Crew::propose(const Entry& entry) {
  flown_at_ = now();
  in_flight_ = member_.propose(worded(entry), [this, term = member_.term()](bool) {
    if (term == led_term_) in_flight_ = false;
  });
}

void Crew::turn() {
  turns_ = wiring_.loop.at(now() + config_.terms.beat() / 2, [this] { turn(); });
  if (failed_ || !lead()) return;
  if (in_flight_ && now() - flown_at_ < kFlightMost) return;
  const auto next = order_.next(board_, now());
  json waits = order_.waits();
  const std::string told = waits.dump();
  if (!heard_.empty() || told != waits_) {
    Entry beats;
    beats.kind = Kind::beats;
    for (auto& [member, beat] : heard_) beats.beats.push_back(std::move(beat));
    beats.reason = told;
    heard_.clear();
    waits_ = told;
    member_.propose(worded(beats));
  }
  if (next) propose(*next);
}

// ---- What was agreed upon ----

void Crew::applied(std::uint64_t index, const std::string& wording) {
  const auto entry = read_entry(wording);
  if (!entry) {
    wiring_.counters.add("works.unreadable");
    return failed("entry " + std::to_string(index) + " of the log is of another version of the program");
  }
  const auto outcome = board_.apply(index, *entry, now());
  wiring_.counters.add("works.entries");
  if (entry->kind == Kind::beats) {
    for (const auto& beat : entry->beats) {
      if (beat.member == name() && beat.life == member_.life()) lease_.agreed(beat.stamp);
    }
    if (!leased_) follow();
    return;
  }
  // What came again under one proposal has had its outcome.
  if (entry->kind == Kind::ask || outcome.index != index) return;
  note(std::string(name_of(entry->kind)) + (outcome.done ? "" : " refused") +
       (entry->work.empty() ? "" : " work=" + entry->work) +
       (entry->host.empty() ? "" : " host=" + entry->host) +
       (entry->added ? " work=" + entry->added->id : "") +
       (entry->member.empty() ? "" : " of=" + entry->member) +
       (entry->kind == Kind::alter ? std::string(" state=") + name_of(entry->state) : "") + " reason=\"" +
       (outcome.done ? entry->reason : outcome.why) + '"');
  if (outcome.done && entry->kind == Kind::leave && entry->member == name()) {
    try {  // it is taken for gone for good, and is not: it begins anew
      lease_ = Lease(config_.terms, now());
      note("life=" + std::to_string(member_.new_life()) + " starts: this member was said to be gone");
    } catch (const std::exception& fault) { failed(fault.what()); }
  }
  follow();
  // One step leads to the next at once.
  if (member_.leads()) {
    wiring_.loop.cancel(turns_);
    turns_ = wiring_.loop.at(now(), [this] { turn(); });
  }
}

std::string Crew::snapshot() {
  return board_.snapshot().dump(-1, ' ', false, json::error_handler_t::replace);
}

bool Crew::restore(const std::string& from) {
  const json read = json::parse(from, nullptr, false);
  return read.is_object() && board_.restore(read, now());
}

void Crew::failed(const std::string& why) {
  if (std::exchange(failed_, true)) return;
  std::cerr << "lotusyard: " << why << std::endl;
  lease_.lost();
  wiring_.loop.at(now(), [this] { follow(); });
}

// ---- What operators ask ----

json Crew::show_group() const {
  json members = json::object(), servers = json::array();
  for (const auto& [id, m] : board_.members()) {
    members[id] = {{"life", m.life},
                   {"follows", m.has},
                   {"silent_ms", std::round((now() - m.seen).count())},
                   {"listed", m.view.listed},
                   {"down", m.view.down}};
  }
  for (const auto& s : member_.servers())
    servers.push_back({{"id", s.id}, {"address", s.address}, {"role", role_name(s.role)}});
  return {
      {"member", name()},           {"id", member_.id()},
      {"life", member_.life()},     {"term", member_.term()},
      {"leader", member_.leader()}, {"leads", member_.leads()},
      {"index", board_.index()},    {"lease_ms", std::max(0.0, std::round((lease_.until() - now()).count()))},
      {"failed", failed_},          {"store_bytes", member_.stored()},
      {"servers", servers},         {"members", members}};
}

json Crew::show_works() const {
  const json waits = json::parse(board_.waits(), nullptr, false);
  json works = json::array();
  for (const auto& w : board_.works()) {
    json hosts = json::object();
    for (const auto& key : w.hosts) {
      const auto found = board_.hosts().find(key.id);
      const bool open = found != board_.hosts().end() && found->second.work == w.id;
      hosts[key.id] = {{"stage", open                           ? name_of(found->second.stage)
                                 : w.state == Work::State::done ? "back"
                                                                : "-"},
                       {"reason", open ? found->second.reason : ""},
                       {"late", open && found->second.late}};
    }
    json row = worded_work(w);
    row["hosts"] = hosts;
    row["waits"] = waits.is_object() && w.state != Work::State::done ? waits.value(w.id, "") : "";
    works.push_back(row);
  }
  return {{"member", name()}, {"index", board_.index()}, {"works", works}};
}

// An operator's proposal: checked against what this member sees, and passed on to whoever leads.
console::Said Crew::take_proposal(const std::string& wording) {
  json from = json::parse(wording, nullptr, false);
  if (!from.is_object()) return {400, "no JSON object"};
  const std::string proposal = config::text(config::key(from, "id"));
  if (proposal.empty() || proposal.size() > 128) return {400, "id: 1 to 128 bytes are needed"};
  try {
    if (from.contains("added")) {
      json& added = from["added"];
      if (!added.is_object()) return {400, "added: an object is needed"};
      const json select = added.value("select", json::object());
      json hosts = json::array();
      const auto named = [&](const char* key, const std::string& value) {
        const json& list = config::key(select, key);
        return list.is_array() && std::find(list.begin(), list.end(), value) != list.end();
      };
      for (const auto& id : select.value("hosts", json::array())) {
        if (!id.is_string() || !wiring_.membership.listed(id.get<std::string>()))
          return {400, "hosts: unknown host " + id.dump()};
      }
      for (const auto& [id, m] : wiring_.membership.hosts()) {
        const bool chosen = select.value("all", false) || named("hosts", id) ||
                            named("zones", m.entry.zone) || named("kinds", m.entry.kind);
        if (chosen) hosts.push_back({id, m.entry.zone, m.entry.kind});
      }
      if (hosts.empty()) return {400, "hosts: none is chosen"};
      added["hosts"] = hosts;
      added.erase("select");
      (void)read_work(added);
    }
    if (from.contains("bounds")) (void)read_bounds(from.at("bounds"));
  } catch (const std::exception& fault) { return {400, fault.what()}; }
  const auto entry = read_entry(from.dump());
  static const Kind allowed[] = {Kind::add,      Kind::alter, Kind::bounds,
                                 Kind::returned, Kind::leave, Kind::ask};
  if (!entry || std::find(std::begin(allowed), std::end(allowed), entry->kind) == std::end(allowed))
    return {400, "no proposal that an operator can make"};
  if (worded(*entry).size() > longest_entry) return {413, "too long"};
  if (!member_.tell_leader(json{{"e", worded(*entry)}}.dump())) return {503, "nobody is known to lead"};
  return {202, "taken"};
}

std::optional<console::Said> Crew::asked(const console::Request& request) {
  const bool get = request.method == "GET", post = request.method == "POST";
  if (request.path == "/-/group")
    return get ? console::Said{200, show_group().dump()} : console::Said{405, "GET"};
  if (request.path == "/-/works")
    return get ? console::Said{200, show_works().dump()} : console::Said{405, "GET"};
  if (request.path.compare(0, kPath.size(), kPath) != 0) return std::nullopt;
  const std::string rest = request.path.substr(kPath.size());
  const auto slash = rest.find('/');
  const std::string verb = rest.substr(0, slash),
                    what = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (verb == "propose") return post ? take_proposal(what) : console::Said{405, "POST"};
  if (verb != "outcome") return std::nullopt;
  if (!get) return console::Said{405, "GET"};
  const auto* outcome = board_.outcome(what);
  if (outcome == nullptr)
    return console::Said{404, "not known here, as of index " + std::to_string(board_.index())};
  return console::Said{
      200, json{{"done", outcome->done}, {"why", outcome->why}, {"index", outcome->index}}.dump()};
}

std::unique_ptr<Companion> make_crew(const Wiring& wiring, const json& file) {
  const auto config = group::read_config(file, wiring.name, core::longest_deadline(wiring.settings()));
  return config ? std::make_unique<Crew>(wiring, *config) : nullptr;
}

}  // namespace lotusyard::works
