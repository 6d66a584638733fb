#include "quota/quota_epochs.h"

#include <algorithm>

#include "core/fault_injection.h"

namespace lotusyard::quota {
namespace {

using nlohmann::json;

bool holds(const QuotaHolders& sharers, const std::string& member, std::uint64_t life) {
  const auto found = sharers.find(member);
  return found != sharers.end() && found->second == life;
}
double each(std::size_t sharers) { return 1.0 / static_cast<double>(std::max<std::size_t>(sharers, 1)); }

}  // namespace

std::string encode_entry(const LogEntry& entry) {
  return json{{"t", entry.kind == LogEntry::Kind::begin_epoch ? "part" : "open"},
              {"sharers", entry.holders},
              {"round", entry.epoch_index}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<LogEntry> parse_entry(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  try {
    LogEntry out;
    const auto kind = from.at("t").get<std::string>();
    if (kind != "part" && kind != "open") return std::nullopt;
    out.kind = kind == "part" ? LogEntry::Kind::begin_epoch : LogEntry::Kind::open_epoch;
    from.at("sharers").get_to(out.holders);
    from.at("round").get_to(out.epoch_index);
    return out;
  } catch (const json::exception&) { return std::nullopt; }
}

bool QuotaEpochs::apply(std::uint64_t index, const LogEntry& e) {
  if (e.kind == LogEntry::Kind::open_epoch) {
    if (is_open_ || e.epoch_index != epoch_index_)
      return false;  // of a leader before: its parting was overtaken
    is_open_ = true;
    return true;
  }
  // Danger: a second parting before the first is open would forget who still holds a part of an earlier one.
  if (!is_open_ || e.holders.size() > max_holders) return false;
  previous_holders_ = std::move(current_holders_);
  current_holders_ = e.holders;
  is_open_ = false;
  epoch_index_ = index;
  return true;
}

double QuotaEpochs::share_of(const std::string& member, std::uint64_t life, bool leased,
                             std::size_t seen) const {
  if (!leased && !fault_injected("share-lease")) return 0;
  if (!holds(current_holders_, member, life)) return 0;
  if (fault_injected("share-view") && seen > 0)
    return each(seen);  // what it sees alone: each side of a cut takes all
  const double after = each(std::max(seen, current_holders_.size()));
  if (is_open_) return after;
  return holds(previous_holders_, member, life) ? std::min(after, each(previous_holders_.size())) : 0;
}

json QuotaEpochs::snapshot() const {
  return {{"before", previous_holders_},
          {"now", current_holders_},
          {"opened", is_open_},
          {"round", epoch_index_}};
}

bool QuotaEpochs::restore(const json& from) {
  try {
    QuotaEpochs out;
    from.at("before").get_to(out.previous_holders_);
    from.at("now").get_to(out.current_holders_);
    from.at("opened").get_to(out.is_open_);
    from.at("round").get_to(out.epoch_index_);
    *this = std::move(out);
    return true;
  } catch (const json::exception&) { return false; }
}

std::optional<LogEntry> next_entry(const QuotaEpochs& epochs,
                                   const std::map<std::string, HolderProgress>& signs,
                                   const raft::LeaseTerms& terms, Millis parted, Millis now) {
  const auto silent = [&](const std::string& member, std::uint64_t life) {
    const auto found = signs.find(member);
    const bool same = found != signs.end() && found->second.incarnation == life;
    // Danger: one that was said to be gone, or came back as another life, may go on elsewhere till its lease
    // ends.
    return now - (same ? found->second.last_heartbeat_at : parted) >= terms.presumed_dead_after();
  };
  LogEntry out;
  if (!epochs.is_open()) {
    for (const auto& [member, life] : epochs.previous_holders()) {
      const auto found = signs.find(member);
      const bool knows = found != signs.end() && found->second.incarnation == life &&
                         found->second.applied_index >= epochs.epoch_index();
      if (!knows && !silent(member, life) && !fault_injected("share-unheard")) return std::nullopt;
    }
    out.kind = LogEntry::Kind::open_epoch;
    out.epoch_index = epochs.epoch_index();
    return out;
  }
  for (const auto& [member, sign] : signs) {
    if (!silent(member, sign.incarnation)) out.holders.emplace(member, sign.incarnation);
  }
  if (out.holders == epochs.current_holders()) return std::nullopt;
  return out;
}

}  // namespace lotusyard::quota
