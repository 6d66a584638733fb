#include "control/session_lease.h"

#include <algorithm>
#include <limits>

#include "core/fault_injection.h"

namespace lotusyard::control {
namespace {

constexpr std::size_t kMaxOutstandingRenewals = 4;
constexpr Millis kMinRenewalInterval{1};  // for any configuration, so that nothing spins
const Millis kNever(std::numeric_limits<double>::infinity());

}  // namespace

std::optional<std::uint64_t> SessionLease::start_renewal(Millis now) {
  next_renewal_ = now + std::max(terms_.heartbeat_interval(), kMinRenewalInterval);
  if (outstanding_.size() >= kMaxOutstandingRenewals)
    return std::nullopt;
  outstanding_.push_back({++last_sequence_, now});
  return last_sequence_;
}

SessionLease::GrantResult SessionLease::on_grant(const Grant& grant, Millis now) {
  const bool was_sent = grant.sequence > 0 && grant.sequence <= last_sequence_;
  if (!was_sent)
    return GrantResult::malformed;
  const auto is_answered = [&grant](const Renewal& renewal) { return renewal.sequence == grant.sequence; };
  const auto found = std::find_if(outstanding_.begin(), outstanding_.end(), is_answered);
  if (found == outstanding_.end())
    return GrantResult::not_outstanding;
  const Renewal renewal = *found;
  outstanding_.erase(outstanding_.begin(), found + 1);  // earlier ones are not answered any more
  if (grant.duration.count() > 0)
    return extend(renewal, grant, now);
  return on_nothing_granted(renewal, now);
}

SessionLease::GrantResult SessionLease::extend(const Renewal& renewal, const Grant& grant, Millis now) {
  const Millis from = fault_injected("grant-from-receipt") ? now : renewal.sent_at;
  until_ = std::max(until_, from + grant.duration);
  share_ = grant.share;
  refused_since_.reset();
  return GrantResult::extended;
}

SessionLease::GrantResult SessionLease::on_nothing_granted(const Renewal& renewal, Millis now) {
  if (!refused_since_)
    refused_since_ = renewal.sent_at;
  const bool is_leaseless = now - *refused_since_ > terms_.lease;
  return is_leaseless ? GrantResult::leaseless : GrantResult::nothing_granted;
}

Millis SessionLease::silence_deadline() const {
  return outstanding_.empty() ? kNever : outstanding_.front().sent_at + terms_.lease / 2;
}

void SessionLease::on_disconnected() {
  outstanding_.clear();
  refused_since_.reset();
}

}  // namespace lotusyard::control
