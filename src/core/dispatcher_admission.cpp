// Which calls are taken, and which refs are not free yet.
#include <algorithm>
#include <utility>

#include "core/dispatcher.h"

namespace lotusyard::core {
namespace {

// What the module leaves open is ended this long after its deadline, inside the grace that the rules give.
constexpr Millis kOverdue{2};
constexpr Millis kRefKept{10000};  // a late answer may come under a ref for so long, or the longest limit
constexpr std::size_t kRefsKept = 8192;
constexpr int kMostLanes = 1024;
constexpr double kMostMemoryMb = 1e6;

}  // namespace

// What no host can use costs hosts and the ration of loads all the same, and may close a connection on which
// others wait: it ends here, whichever front it came through. Nothing if all is well.
const char* Dispatcher::rejection_reason(const Call& call) const {
  const auto named = [](const std::string& name) {
    return [&name](const auto& entry) { return entry.name == name; };
  };
  const auto* cls = class_named(*settings_, call.class_name);
  if (cls == nullptr)
    return "calls.unknown_class";
  if (cls->semantics == policy::Semantics::keyed && call.key.empty())
    return "calls.no_key";
  if (!call.key.empty() && !IdempotencyKeys::is_valid(call.key))
    return "calls.bad_key";
  const auto& tenants = settings_->tenants;
  if (!call.tenant.empty() && !tenants.empty() &&
      std::none_of(tenants.begin(), tenants.end(), named(call.tenant))) {
    return "calls.unknown_tenant";
  }
  double most_mb = settings_->kind_memory_mb.empty() ? kMostMemoryMb : 0;
  for (const auto& [kind, megabytes] : settings_->kind_memory_mb)
    most_mb = std::max(most_mb, megabytes);
  if (!(call.memory_mb >= 0 && call.memory_mb <= most_mb))
    return "calls.bad_figures";
  if (call.lanes < 1 || call.lanes > kMostLanes)
    return "calls.bad_figures";
  // A client's patience is at most its class's; a millisecond for rounding.
  if (!(call.allow.count() > 0 && call.allow <= cls->deadline + Millis(1)))
    return "calls.bad_figures";
  return nullptr;
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

bool Dispatcher::admit(CallId id, Call&& call, Front& front) {
  if (const char* fault = rejection_reason(call)) {
    counters_.add(fault);
    return false;
  }
  expire_refs();
  // Hosts know a call by its ref; two under one would get each other's answers.
  if (refs_.count(call.ref) != 0) {
    counters_.add("calls.ref_repeated");
    return false;
  }
  const auto* cls = class_named(*settings_, call.class_name);
  if (cls->semantics == policy::Semantics::keyed) {
    static const char* const faults[] = {nullptr, "calls.key_of_another", "calls.key_window_over",
                                         "calls.keys_full"};
    if (const char* fault = faults[static_cast<int>(keys_.begin(call, key_rule(*cls), clock_()))]) {
      counters_.add(fault);
      return false;
    }
  }
  refs_.insert(call.ref);
  counters_.add("calls.taken");
  OpenCall& open = calls_[id];
  open.call = std::move(call);
  open.front = &front;
  open.rules = settings_;
  open.cls = cls;
  deadlines_.push({open.call.arrived + open.call.allow + kOverdue, id, -1});
  run(module_.pick(clock_(), id, open.call));
  return true;
}

}  // namespace lotusyard::core
