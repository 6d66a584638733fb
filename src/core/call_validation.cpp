#include "core/call_validation.h"

#include <algorithm>

#include "core/idempotency_keys.h"

namespace lotusyard::core {
namespace {

constexpr int kMaxLanes = 1024;
// The limit if the settings list no kinds of hosts. Otherwise it is the memory of the largest kind.
constexpr double kMaxMemoryMb = 1e6;
// Clients send their time-out rounded, so that it may exceed the deadline of the class by this much.
constexpr Millis kTimeoutRounding{1};

bool lacks_key(const Call& call, const policy::ClassSettings& call_class) {
  return call_class.semantics == policy::Semantics::idempotent_with_key && call.key.empty();
}

bool has_invalid_key(const Call& call) { return !call.key.empty() && !IdempotencyKeys::is_valid(call.key); }

// Settings without tenants allow any tenant; a call need not have one.
bool has_unknown_tenant(const Call& call, const Settings& settings) {
  if (call.tenant.empty() || settings.tenants.empty())
    return false;
  return std::none_of(settings.tenants.begin(), settings.tenants.end(),
                      [&call](const auto& tenant) { return tenant.name == call.tenant; });
}

double max_memory_mb(const Settings& settings) {
  if (settings.kind_memory_mb.empty())
    return kMaxMemoryMb;
  double max = 0;
  for (const auto& [kind, memory_mb] : settings.kind_memory_mb)
    max = std::max(max, memory_mb);
  return max;
}

// The comparisons are false for NaN.
bool is_memory_in_range(const Call& call, const Settings& settings) {
  return call.memory_mb >= 0 && call.memory_mb <= max_memory_mb(settings);
}

bool are_lanes_in_range(const Call& call) { return call.lanes >= 1 && call.lanes <= kMaxLanes; }

// The comparisons are false for NaN.
bool is_timeout_in_range(const Call& call, const policy::ClassSettings& call_class) {
  return call.timeout > Millis(0) && call.timeout <= call_class.deadline + kTimeoutRounding;
}

}  // namespace

std::optional<RejectionReason> validate_call(const Call& call, const Settings& settings) {
  const auto* call_class = class_named(settings, call.class_name);
  if (call_class == nullptr)
    return RejectionReason::unknown_class;
  if (lacks_key(call, *call_class))
    return RejectionReason::missing_key;
  if (has_invalid_key(call))
    return RejectionReason::invalid_key;
  if (has_unknown_tenant(call, settings))
    return RejectionReason::unknown_tenant;
  if (!is_memory_in_range(call, settings) || !are_lanes_in_range(call) ||
      !is_timeout_in_range(call, *call_class)) {
    return RejectionReason::out_of_range;
  }
  return std::nullopt;
}

}  // namespace lotusyard::core
