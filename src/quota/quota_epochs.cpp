#include "quota/quota_epochs.h"

#include <algorithm>
#include <utility>

#include "core/fault_injection.h"

namespace lotusyard::quota {
namespace {

using nlohmann::json;

bool is_holder(const QuotaHolders& holders, const std::string& member, std::uint64_t incarnation) {
  const auto found = holders.find(member);
  return found != holders.end() && found->second == incarnation;
}

double equal_share(std::size_t holders) {
  return 1.0 / static_cast<double>(std::max<std::size_t>(holders, 1));
}

}  // namespace

bool QuotaEpochs::apply(std::uint64_t index, const LogEntry& entry) {
  return std::visit([&](const auto& command) { return apply_command(index, command); }, entry);
}

// An epoch begins only once the previous one is open: otherwise the holders of
// the one before that, who may still use their shares, would be dropped.
bool QuotaEpochs::apply_command(std::uint64_t index, const BeginEpoch& command) {
  if (!is_open_ || command.holders.size() > kMaxHolders) {
    return false;
  }
  previous_holders_ = std::move(current_holders_);
  current_holders_ = command.holders;
  is_open_ = false;
  epoch_index_ = index;
  return true;
}

// A former leader may have proposed to open an epoch that has been superseded.
bool QuotaEpochs::apply_command(std::uint64_t, const OpenEpoch& command) {
  if (is_open_ || command.epoch_index != epoch_index_) {
    return false;
  }
  is_open_ = true;
  return true;
}

double QuotaEpochs::share_of(const std::string& member, std::uint64_t incarnation, bool is_leased,
                             std::size_t members_seen) const {
  if (!is_leased && !fault_injected("share-lease")) {
    return 0;
  }
  if (!is_holder(current_holders_, member, incarnation)) {
    return 0;
  }
  // Injected fault: the share depends on the member's own view alone, so that
  // each side of a partition takes the entire quota.
  if (fault_injected("share-view") && members_seen > 0) {
    return equal_share(members_seen);
  }
  const double current_share = equal_share(std::max(members_seen, current_holders_.size()));
  if (is_open_) {
    return current_share;
  }
  if (!is_holder(previous_holders_, member, incarnation)) {
    return 0;
  }
  return std::min(current_share, equal_share(previous_holders_.size()));
}

// The keys differ from the names of the fields: they are stored, so they must
// not change.
json QuotaEpochs::snapshot() const {
  return {{"before", previous_holders_},
          {"now", current_holders_},
          {"opened", is_open_},
          {"round", epoch_index_}};
}

bool QuotaEpochs::restore(const json& from) {
  try {
    QuotaEpochs restored;
    from.at("before").get_to(restored.previous_holders_);
    from.at("now").get_to(restored.current_holders_);
    from.at("opened").get_to(restored.is_open_);
    from.at("round").get_to(restored.epoch_index_);
    *this = std::move(restored);
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace lotusyard::quota
