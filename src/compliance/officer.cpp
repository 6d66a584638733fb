#include "compliance/officer.h"

#include <algorithm>

namespace lotusyard::compliance {
namespace {

using nlohmann::json;
using State = Certificate::State;

constexpr int kAgain = 4;  // turns after which a proposal that changed nothing is made again
const std::string kPath = "/-/compliance/";

}  // namespace

Officer::Officer(const Wiring& wiring, const group::Config& config, works::Coordinator& coordinator,
                 Note note)
    : wiring_(wiring),
      config_(config),
      coordinator_(coordinator),
      note_(std::move(note)),
      enforcer_(
          wiring, book_, [this] { return coordinator_.leased(); }, note_) {}

void Officer::attach(group::Member& member) {
  member_ = &member;
  update();
  turn();
}

void Officer::update() { enforcer_.update(); }

void Officer::applied(std::uint64_t index, const std::string& text) {
  Entry entry;
  try {
    entry = read_entry(json::parse(text));
  } catch (const std::exception& fault) {
    wiring_.counters.add("compliance.unreadable");
    return coordinator_.failed("entry " + std::to_string(index) +
                               " of the log cannot be read: " + fault.what());
  }
  proposed_ = Millis(0);
  const auto outcome = book_.apply(index, entry);
  ++changes_;
  if (outcome.index != index || entry.kind == Entry::Kind::told) return;
  note_("entry=" + std::to_string(index) + ' ' + text + (outcome.done ? "" : " refused: " + outcome.why));
  if (!outcome.done || entry.kind != Entry::Kind::revoke) return;
  wiring_.counters.add("compliance.revoked");
  stopped_[entry.name] = wiring_.loop.now();
  wiring_.fleet.cut(book_.certificates().at(entry.name).host);
}

bool Officer::restore(const std::string& snapshot) {
  if (snapshot.empty()) return true;
  ++changes_;
  return book_.restore(json::parse(snapshot, nullptr, false));
}

// A certificate is used no more once every call that may have gone out under it has run out of time.
void Officer::turn() {
  const Millis now = wiring_.loop.now();
  turns_ = wiring_.loop.at(now + config_.terms.beat() / 2, [this] { turn(); });
  for (const auto& [name, c] : book_.certificates()) {
    if (c.state != State::ending || book_.told(name, config_.member, member_->life())) continue;
    const Millis since = stopped_.try_emplace(name, now).first->second;
    if (now - since < config_.terms.last_call || !config_.serves) continue;
    if (others_settled_ && !others_settled_(c.round)) continue;
    Entry told;
    told.kind = Entry::Kind::told;
    told.name = name;
    told.member = config_.member;
    told.life = member_->life();
    told.round = c.round;
    member_->tell_leader(*this, worded(told));
  }
  for (auto i = stopped_.begin(); i != stopped_.end();) {
    const auto found = book_.certificates().find(i->first);
    const bool over = found == book_.certificates().end() || found->second.state != State::ending;
    i = over ? stopped_.erase(i) : std::next(i);
  }
  if (coordinator_.leads() && now - proposed_ >= config_.terms.beat() / 2 * kAgain) lead();
}

std::string Officer::waits_for(const Certificate& c) const {
  std::string out;
  for (const auto& [name, m] : coordinator_.board().members()) {
    const bool silent = wiring_.loop.now() - m.seen >= config_.terms.silent();
    if (m.serves && !silent && !book_.told(c.name, name, m.life)) out += (out.empty() ? "" : ", ") + name;
  }
  return out;
}

void Officer::lead() {
  for (const auto& [name, c] : book_.certificates()) {
    if (c.state != State::ending || !waits_for(c).empty()) continue;
    Entry ended;
    ended.kind = Entry::Kind::ended;
    ended.name = name;
    ended.round = c.round;
    if (member_->propose(*this, worded(ended))) proposed_ = wiring_.loop.now();
  }
}

void Officer::told(const std::string& word) {
  try {
    const Entry entry = read_entry(json::parse(word));
    if (entry.kind == Entry::Kind::told && book_.told(entry.name, entry.member, entry.life)) return;
    if (entry.kind != Entry::Kind::ended) member_->propose(*this, worded(entry));
  } catch (const std::exception&) { wiring_.counters.add("compliance.malformed"); }
}

json Officer::shown() const {
  json certificates = json::object();
  static const char* const states[] = {"stands", "ending", "ended"};
  for (const auto& [name, c] : book_.certificates())
    certificates[name] = {{"host", c.host},
                          {"regime", c.regime},
                          {"state", states[static_cast<std::size_t>(c.state)]},
                          {"waits_for", c.state == State::ending ? waits_for(c) : ""}};
  json regimes = json::array();
  for (const auto& [name, r] : book_.regimes()) regimes.push_back(name);
  return {{"member", config_.member}, {"index", book_.index()},       {"knows", coordinator_.leased()},
          {"regimes", regimes},       {"certificates", certificates}, {"tenants", book_.tenants()}};
}

std::optional<console::Said> Officer::asked(const console::Request& request) {
  const bool get = request.method == "GET";
  if (request.path == "/-/compliance")
    return get ? console::Said{200, shown().dump()} : console::Said{405, "GET"};
  if (request.path.compare(0, kPath.size(), kPath) != 0) return std::nullopt;
  const std::string rest = request.path.substr(kPath.size());
  const auto slash = rest.find('/');
  const std::string verb = rest.substr(0, slash),
                    what = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (verb == "outcome") {
    const auto* outcome = book_.outcome(what);
    if (outcome == nullptr) return console::Said{404, "not known here"};
    return console::Said{200, json{{"done", outcome->done}, {"why", outcome->why}}.dump()};
  }
  if (verb != "propose") return std::nullopt;
  if (get) return console::Said{405, "POST"};
  try {
    Entry entry = read_entry(json::parse(what));
    if (entry.kind > Entry::Kind::revoke)
      return console::Said{400, "t: no proposal that an operator can make"};
    if (entry.proposal.empty()) return console::Said{400, "id: 1 to 128 bytes are needed"};
    if (entry.kind == Entry::Kind::certify) {
      const auto listed = wiring_.membership.listed(entry.certificate.host);
      if (!listed) return console::Said{400, "host: unknown host " + entry.certificate.host};
      entry.certificate.host_life = listed->entry.started.count();
    }
    const bool went = member_->tell_leader(*this, worded(entry));
    return went ? console::Said{202, "taken"} : console::Said{503, "nobody is known to lead"};
  } catch (const std::exception& fault) { return console::Said{400, fault.what()}; }
}

}  // namespace lotusyard::compliance
