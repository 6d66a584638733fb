#include "shares/epochs.h"

#include <algorithm>

#include "core/breaks.h"

namespace lotusyard::shares {
namespace {

using nlohmann::json;

bool holds(const Sharers& sharers, const std::string& member, std::uint64_t life) {
  const auto found = sharers.find(member);
  return found != sharers.end() && found->second == life;
}
double each(std::size_t sharers) { return 1.0 / static_cast<double>(std::max<std::size_t>(sharers, 1)); }

}  // namespace

std::string worded(const Entry& entry) {
  return json{{"t", entry.kind == Entry::Kind::part ? "part" : "open"},
              {"sharers", entry.sharers},
              {"round", entry.round}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Entry> read_entry(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  try {
    Entry out;
    const auto kind = from.at("t").get<std::string>();
    if (kind != "part" && kind != "open") return std::nullopt;
    out.kind = kind == "part" ? Entry::Kind::part : Entry::Kind::open;
    from.at("sharers").get_to(out.sharers);
    from.at("round").get_to(out.round);
    return out;
  } catch (const json::exception&) { return std::nullopt; }
}

bool Epochs::apply(std::uint64_t index, const Entry& e) {
  if (e.kind == Entry::Kind::open) {
    if (opened_ || e.round != round_) return false;  // of a leader before: its parting was overtaken
    opened_ = true;
    return true;
  }
  // Danger: a second parting before the first is open would forget who still holds a part of an earlier one.
  if (!opened_ || e.sharers.size() > sharers_most) return false;
  before_ = std::move(now_);
  now_ = e.sharers;
  opened_ = false;
  round_ = index;
  return true;
}

double Epochs::part_of(const std::string& member, std::uint64_t life, bool leased, std::size_t seen) const {
  if (!leased && !breaks("share-lease")) return 0;
  if (!holds(now_, member, life)) return 0;
  if (breaks("share-view") && seen > 0)
    return each(seen);  // what it sees alone: each side of a cut takes all
  const double after = each(std::max(seen, now_.size()));
  if (opened_) return after;
  return holds(before_, member, life) ? std::min(after, each(before_.size())) : 0;
}

json Epochs::snapshot() const {
  return {{"before", before_}, {"now", now_}, {"opened", opened_}, {"round", round_}};
}

bool Epochs::restore(const json& from) {
  try {
    Epochs out;
    from.at("before").get_to(out.before_);
    from.at("now").get_to(out.now_);
    from.at("opened").get_to(out.opened_);
    from.at("round").get_to(out.round_);
    *this = std::move(out);
    return true;
  } catch (const json::exception&) { return false; }
}

std::optional<Entry> next(const Epochs& epochs, const std::map<std::string, Sign>& signs,
                          const group::Terms& terms, Millis parted, Millis now) {
  const auto silent = [&](const std::string& member, std::uint64_t life) {
    const auto found = signs.find(member);
    const bool same = found != signs.end() && found->second.life == life;
    // Danger: one that was said to be gone, or came back as another life, may go on elsewhere till its lease
    // ends.
    return now - (same ? found->second.seen : parted) >= terms.silent();
  };
  Entry out;
  if (!epochs.opened()) {
    for (const auto& [member, life] : epochs.before()) {
      const auto found = signs.find(member);
      const bool knows =
          found != signs.end() && found->second.life == life && found->second.has >= epochs.round();
      if (!knows && !silent(member, life) && !breaks("share-unheard")) return std::nullopt;
    }
    out.kind = Entry::Kind::open;
    out.round = epochs.round();
    return out;
  }
  for (const auto& [member, sign] : signs) {
    if (!silent(member, sign.life)) out.sharers.emplace(member, sign.life);
  }
  if (out.sharers == epochs.now()) return std::nullopt;
  return out;
}

}  // namespace lotusyard::shares
