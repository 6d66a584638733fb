// Which calls are taken, and which refs are not free yet.
#include <algorithm>
#include <utility>

#include "core/dispatcher.h"
#include "metrics/call_counters.h"

namespace lotusyard::core {
namespace {

// What the module leaves open is ended this long after its deadline, inside the grace that the rules give.
constexpr Millis kOverdue{2};
constexpr Millis kRefKept{10000};  // a late answer may come under a ref for so long, or the longest limit
constexpr std::size_t kRefsKept = 8192;
constexpr int kMostLanes = 1024;
constexpr double kMostMemoryMb = 1e6;

std::optional<RejectionReason> rejection_of(IdempotencyKeys::KeyDecision decision) {
  switch (decision) {
    case IdempotencyKeys::KeyDecision::accepted:
      return std::nullopt;
    case IdempotencyKeys::KeyDecision::other_request:
      return RejectionReason::key_of_other_request;
    case IdempotencyKeys::KeyDecision::window_over:
      return RejectionReason::key_window_over;
    case IdempotencyKeys::KeyDecision::full:
      break;
  }
  return RejectionReason::too_many_keys;
}

}  // namespace

// What no host can use costs hosts and the ration of loads all the same, and may close a connection on which
// others wait: it ends here, whichever front it came through. Nothing if all is well.
std::optional<RejectionReason> Dispatcher::rejection_reason(const Call& call) const {
  const auto named = [](const std::string& name) {
    return [&name](const auto& entry) { return entry.name == name; };
  };
  const auto* call_class = class_named(*settings_, call.class_name);
  if (call_class == nullptr)
    return RejectionReason::unknown_class;
  if (call_class->semantics == policy::Semantics::idempotent_with_key && call.key.empty())
    return RejectionReason::missing_key;
  if (!call.key.empty() && !IdempotencyKeys::is_valid(call.key))
    return RejectionReason::invalid_key;
  const auto& tenants = settings_->tenants;
  if (!call.tenant.empty() && !tenants.empty() &&
      std::none_of(tenants.begin(), tenants.end(), named(call.tenant))) {
    return RejectionReason::unknown_tenant;
  }
  double most_mb = settings_->kind_memory_mb.empty() ? kMostMemoryMb : 0;
  for (const auto& [kind, megabytes] : settings_->kind_memory_mb)
    most_mb = std::max(most_mb, megabytes);
  if (!(call.memory_mb >= 0 && call.memory_mb <= most_mb))
    return RejectionReason::out_of_range;
  if (call.lanes < 1 || call.lanes > kMostLanes)
    return RejectionReason::out_of_range;
  // A client's patience is at most its class's; a millisecond for rounding.
  if (!(call.timeout.count() > 0 && call.timeout <= call_class->deadline + Millis(1)))
    return RejectionReason::out_of_range;
  return std::nullopt;
}

void Dispatcher::remember_ref(const std::string& ref) {
  ended_refs_.emplace_back(clock_(), ref);
  expire_refs();
}

// Bounds the memory of refs; the one place where it shrinks. Asked only as calls end, a repeat long
// after would be taken or not by what else ended meanwhile.
void Dispatcher::expire_refs() {
  const Millis now = clock_(), kept = std::max(kRefKept, longest_deadline(*settings_));
  while (!ended_refs_.empty() && (now - ended_refs_.front().first > kept || ended_refs_.size() > kRefsKept)) {
    refs_.erase(ended_refs_.front().second);
    ended_refs_.pop_front();
  }
}

std::optional<RejectionReason> Dispatcher::admit(CallId id, Call&& call, FrontEnd& front_end) {
  const auto rejected = [this](RejectionReason reason) {
    counters_.add(counter_of(reason));
    return reason;
  };
  if (const auto reason = rejection_reason(call))
    return rejected(*reason);
  expire_refs();
  // Hosts know a call by its ref; two under one would get each other's answers.
  if (refs_.count(call.ref) != 0)
    return rejected(RejectionReason::repeated_ref);
  const auto* call_class = class_named(*settings_, call.class_name);
  if (call_class->semantics == policy::Semantics::idempotent_with_key) {
    if (const auto reason = rejection_of(keys_.begin(call, key_rule(*call_class), clock_())))
      return rejected(*reason);
  }
  refs_.insert(call.ref);
  counters_.add(metrics::kCallsTaken);
  OpenCall& open = calls_[id];
  open.call = std::move(call);
  open.front = &front_end;
  open.rules = settings_;
  open.call_class = call_class;
  deadlines_.push({open.call.arrived + open.call.timeout + kOverdue, id, -1});
  run(policy_driver_.pick(clock_(), id, open.call));
  return std::nullopt;
}

}  // namespace lotusyard::core
