#include "view/viewer.h"

#include <algorithm>
#include <random>

namespace lotusyard::view {
namespace {

constexpr Millis kLookPace{1000}, kBeginPace{200};
constexpr std::size_t kLongestMessage = 1U << 20;

}  // namespace

Viewer::Viewer(const Wiring& wiring, const group::Config& config, group::Member& member, Looks fails,
               Note note)
    : wiring_(wiring), config_(config), member_(member), fails_(std::move(fails)), note_(std::move(note)) {
  member_.hear_views([this](const std::string& from, const std::string& body) { heard(from, body); });
  begin();
  look();
}

Viewer::~Viewer() {
  member_.hear_views({});
  wiring_.loop.cancel(turns_);
  wiring_.loop.cancel(looks_);
}

// Begins with the member's life: without a store it has none until it has been let in.
void Viewer::begin() {
  const Millis now = wiring_.loop.now();
  if (!member_.in_group()) {
    turns_ = wiring_.loop.at(now + kBeginPace, [this] { begin(); });
    return;
  }
  std::vector<std::string> seed_addresses;
  for (const auto& peer : config_.members) seed_addresses.push_back(peer.address);
  Pace pace;
  pace.period = *config_.view;
  life_ = member_.life();
  swim_.emplace(Peer{config_.member, config_.address, life_, 0, Standing::joining, {}}, seed_addresses, pace,
                std::random_device{}(), now);
  if (serves_) swim_->serve(now);
  turn();
}

void Viewer::leave() {
  if (!swim_) return;
  swim_->leave(wiring_.loop.now());
  carry_out();
}

void Viewer::serve() {
  if (!std::exchange(serves_, true) && swim_) swim_->serve(wiring_.loop.now());
}

void Viewer::turn() {
  const Millis now = wiring_.loop.now();
  if (member_.life() != life_) {  // it was said to be gone, and has begun anew
    swim_.reset();
    return begin();
  }
  swim_->tick(now);
  carry_out();
  const Millis due = std::min(swim_->due(), now + config_.view.value());
  turns_ = wiring_.loop.at(std::max(due, now + Millis(1)), [this] { turn(); });
}

void Viewer::look() {
  looks_ = wiring_.loop.at(wiring_.loop.now() + kLookPace, [this] { look(); });
  if (!swim_) return;
  std::set<std::string> listed, observers;
  for (const auto& [id, member] : wiring_.membership.hosts()) {
    listed.insert(id);
    swim_->see(id, member.entry.started.count(), !fails_(id));
  }
  for (const auto& [name, known] : swim_->member_table().all()) {
    if (here(known.peer.standing)) observers.insert(name);
  }
  swim_->facts().keep(listed, observers);
}

void Viewer::heard(const std::string& member, const std::string& body) {
  if (!swim_) return;
  const auto message = body.size() > kLongestMessage ? std::nullopt : read_message(body);
  if (!message || message->self.name != member) return wiring_.counters.add("view.malformed");
  wiring_.counters.add("view.heard");
  swim_->receive(wiring_.loop.now(), *message);
  carry_out();
}

void Viewer::carry_out() {
  for (const auto& out : swim_->take_out()) {
    const bool went = member_.send_view(out.address, worded(out.message));
    wiring_.counters.add(went ? "view.sent" : "view.not_sent");
  }
  const auto changes = swim_->take_changes();
  for (const auto& peer : changes) {
    wiring_.counters.add(std::string("view.") + name_of(peer.standing));
    note_("of=" + peer.name + " life=" + std::to_string(peer.life) + " standing=" + name_of(peer.standing) +
          (swim_->usurped() && peer.name == config_.member ? " usurped: another process goes by this name"
                                                           : ""));
  }
  if (!changes.empty() && changed_) changed_();
}

std::size_t Viewer::seen() const {
  if (!swim_) return 0;
  const auto& all = swim_->member_table().all();
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& entry) {
    return here(entry.second.peer.standing) && entry.second.peer.standing != Standing::joining;
  }));
}

nlohmann::json Viewer::shown() const {
  nlohmann::json members = nlohmann::json::object(), hosts = nlohmann::json::object();
  if (!swim_) return {{"member", config_.member}, {"members", members}, {"hosts", hosts}};
  for (const auto& [name, known] : swim_->member_table().all()) {
    members[name] = {{"standing", name_of(known.peer.standing)},
                     {"life", known.peer.life},
                     {"round", known.peer.round},
                     {"address", known.peer.address},
                     {"for_ms", static_cast<std::int64_t>((wiring_.loop.now() - known.since).count())}};
  }
  for (const auto& [id, member] : wiring_.membership.hosts())
    hosts[id] = {{"fails_for", swim_->facts().against(id)}};
  return {{"member", config_.member},
          {"doubts", swim_->doubts()},
          {"usurped", swim_->usurped()},
          {"members", members},
          {"hosts", hosts}};
}

}  // namespace lotusyard::view
