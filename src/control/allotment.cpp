#include "control/allotment.h"

#include <algorithm>

namespace lotusyard::control {
namespace {

constexpr double kRounding = 1e-12;  // of a part; sums of shares are not exact

template <typename Shares>
double largest(const Shares& shares) {
  double out = 0;
  for (const auto& share : shares)
    out = std::max(out, share.amount);
  return out;
}

}  // namespace

void Allotment::set_part(double part, Index index) {
  if (part < part_)
    reductions_.push_back({index, part});
  part_ = part;
}

void Allotment::expire(Millis now) {
  for (auto session = shares_.begin(); session != shares_.end();) {
    auto& shares = session->second;
    const auto over = [now](const Share& share) { return share.until <= now; };
    shares.erase(std::remove_if(shares.begin(), shares.end(), over), shares.end());
    session = shares.empty() ? shares_.erase(session) : std::next(session);
  }
}

double Allotment::outstanding(Millis now) {
  expire(now);
  double out = 0;
  for (const auto& [session, shares] : shares_)
    out += largest(shares);
  return out;
}

double Allotment::grant(SessionId session, std::size_t sessions, Millis until, Millis now) {
  const double total = outstanding(now);
  auto& mine = shares_[session];
  const double others = total - largest(mine);
  const double target = part_ / static_cast<double>(std::max<std::size_t>(sessions, 1));
  const double share = std::clamp(part_ - others, 0.0, target);
  // An earlier share that is neither larger nor lasts longer is covered by this one.
  const auto covered = [&](const Share& old) { return old.amount <= share && old.until <= until; };
  mine.erase(std::remove_if(mine.begin(), mine.end(), covered), mine.end());
  mine.push_back({share, until});
  return share;
}

Index Allotment::respected(Index applied, Millis now) {
  const double out = outstanding(now);
  while (!reductions_.empty() && out <= reductions_.front().part + kRounding)
    reductions_.pop_front();
  return reductions_.empty() ? applied : std::min(applied, reductions_.front().index - 1);
}

}  // namespace lotusyard::control
