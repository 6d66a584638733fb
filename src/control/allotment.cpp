#include "control/allotment.h"

#include <algorithm>
#include <iterator>

namespace lotusyard::control {
namespace {

constexpr double kRounding = 1e-12;  // sums of shares are not exact

}  // namespace

double Allotment::largest(const Shares& shares) {
  double largest = 0;
  for (const Share& share : shares)
    largest = std::max(largest, share.amount);
  return largest;
}

void Allotment::set_budget(double budget, Index index) {
  if (budget < budget_)
    reductions_.push_back({index, budget});
  budget_ = budget;
}

void Allotment::expire(Millis now) {
  const auto is_over = [now](const Share& share) { return share.until <= now; };
  for (auto session = shares_.begin(); session != shares_.end();) {
    Shares& shares = session->second;
    shares.erase(std::remove_if(shares.begin(), shares.end(), is_over), shares.end());
    session = shares.empty() ? shares_.erase(session) : std::next(session);
  }
}

double Allotment::outstanding(Millis now) {
  expire(now);
  double sum = 0;
  for (const auto& [session, shares] : shares_)
    sum += largest(shares);
  return sum;
}

double Allotment::grant(SessionId session, std::size_t sessions, Millis until, Millis now) {
  const double total = outstanding(now);
  Shares& own = shares_[session];
  const double others = total - largest(own);
  const double target = budget_ / static_cast<double>(std::max<std::size_t>(sessions, 1));
  const double amount = std::clamp(budget_ - others, 0.0, target);
  // An earlier share that is neither larger nor lasts longer is covered by this one.
  const auto is_covered = [amount, until](const Share& earlier) {
    return earlier.amount <= amount && earlier.until <= until;
  };
  own.erase(std::remove_if(own.begin(), own.end(), is_covered), own.end());
  own.push_back({amount, until});
  return amount;
}

Index Allotment::respected(Index applied, Millis now) {
  const double in_use = outstanding(now);
  while (!reductions_.empty() && in_use <= reductions_.front().budget + kRounding)
    reductions_.pop_front();
  return reductions_.empty() ? applied : std::min(applied, reductions_.front().index - 1);
}

}  // namespace lotusyard::control
