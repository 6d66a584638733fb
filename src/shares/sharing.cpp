#include "shares/sharing.h"

#include <algorithm>

namespace lotusyard::shares {
namespace {

constexpr double kNothing = 1e-9;  // of a share: to the module 0 would mean that none is set
constexpr int kAgain = 4;          // turns after which a proposal that changed nothing is made again

}  // namespace

Sharing::Sharing(const Wiring& wiring, const group::Config& config, works::Coordinator& coordinator,
                 Note note)
    : wiring_(wiring),
      config_(config),
      coordinator_(coordinator),
      note_(std::move(note)),
      parted_(wiring.loop.now()) {}

void Sharing::attach(group::Member& member) {
  member_ = &member;
  update(0);
  turn();
}

void Sharing::turn() {
  const Millis now = wiring_.loop.now(), pace = config_.terms.beat() / 2;
  turns_ = wiring_.loop.at(now + pace, [this] { turn(); });
  if (!coordinator_.leads() || now - proposed_ < pace * kAgain) return;
  std::map<std::string, Sign> signs;
  for (const auto& [name, m] : coordinator_.board().members()) {
    if (m.serves) signs[name] = {m.life, m.has, m.seen};
  }
  if (const auto entry = next(epochs_, signs, config_.terms, parted_, now)) {
    if (member_->propose(*this, worded(*entry))) proposed_ = now;
  }
}

void Sharing::applied(std::uint64_t index, const std::string& text) {
  const auto entry = read_entry(text);
  if (!entry) {
    wiring_.counters.add("shares.unreadable");
    return coordinator_.failed("entry " + std::to_string(index) +
                               " of the log is of another version of the program");
  }
  proposed_ = Millis(0);
  if (!epochs_.apply(index, *entry)) return;
  wiring_.counters.add(entry->kind == Entry::Kind::part ? "shares.parted" : "shares.opened");
  if (entry->kind == Entry::Kind::part) parted_ = wiring_.loop.now();
  update(seen_);
}

bool Sharing::restore(const std::string& snapshot) {
  if (snapshot.empty()) return true;
  return epochs_.restore(nlohmann::json::parse(snapshot, nullptr, false));
}

void Sharing::update(std::size_t seen) {
  seen_ = seen;
  if (member_ == nullptr) return;
  const double part = epochs_.part_of(config_.member, member_->life(), coordinator_.leased(), seen);
  if (part == part_) return;
  part_ = part;
  note_("part=" + std::to_string(part) + " round=" + std::to_string(epochs_.round()) +
        " sharers=" + std::to_string(epochs_.now().size()) + " seen=" + std::to_string(seen));
  wiring_.set_share(std::max(part, kNothing));
}

}  // namespace lotusyard::shares
