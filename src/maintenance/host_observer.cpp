#include "maintenance/host_observer.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::maintenance {
namespace {

// Time constant of the decaying rates: about an instance's keep-alive, as in the policy's demand estimate.
constexpr Millis kRateTimeConstant{10000};
// A host that has not served a function for this long is assumed to have no warm instance of it.
constexpr Millis kWarmInstanceLifetime{10000};
// A call that needs a cold start loses about this many times what a call loses that moves to a warm instance.
constexpr double kColdStartWeight = 4;
constexpr int kFailuresUntilDown = 3;   // consecutive
constexpr Millis kDownDuration{10000};  // after the last failure

double decayed(double rate, Millis elapsed) { return rate * std::exp(-(elapsed / kRateTimeConstant)); }

}  // namespace

void HostObserver::record_success(const std::string& host, std::uint64_t function, double priority_weight,
                                  Millis now) {
  HostRecord& record = hosts_[host];
  record.rate = decayed(record.rate, now - record.rate_updated_at) + priority_weight;
  record.rate_updated_at = now;
  record.last_served_at = now;
  record.consecutive_failures = 0;
  if (functions_.count(function) == 0 && functions_.size() >= kMaxFunctions)
    evict_oldest_function();
  FunctionRecord& function_record = functions_[function];
  function_record.rate =
      decayed(function_record.rate, now - function_record.rate_updated_at) + priority_weight;
  function_record.rate_updated_at = now;
  function_record.hosts[host] = now;
  for (auto i = function_record.hosts.begin(); i != function_record.hosts.end();)
    i = now - i->second > kWarmInstanceLifetime ? function_record.hosts.erase(i) : std::next(i);
}

// Keeps the table of functions within its limit.
void HostObserver::evict_oldest_function() {
  const auto oldest = std::min_element(
      functions_.begin(), functions_.end(),
      [](const auto& a, const auto& b) { return a.second.rate_updated_at < b.second.rate_updated_at; });
  functions_.erase(oldest);
}

void HostObserver::record_failure(const std::string& host, Millis now) {
  HostRecord& record = hosts_[host];
  ++record.consecutive_failures;
  record.last_failed_at = now;
}

double HostObserver::serving_value(const std::string& host, Millis now) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return 0;
  double out = decayed(found->second.rate, now - found->second.rate_updated_at);
  for (const auto& [id, function_record] : functions_) {
    bool warm_on_host = false, warm_elsewhere = false;
    for (const auto& [other, at] : function_record.hosts) {
      if (now - at <= kWarmInstanceLifetime)
        (other == host ? warm_on_host : warm_elsewhere) = true;
    }
    if (warm_on_host && !warm_elsewhere)
      out += (kColdStartWeight - 1) * decayed(function_record.rate, now - function_record.rate_updated_at);
  }
  return out / (kRateTimeConstant.count() / 1000);
}

bool HostObserver::is_down(const std::string& host, Millis now) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.consecutive_failures >= kFailuresUntilDown &&
         now - found->second.last_failed_at <= kDownDuration;
}

Millis HostObserver::last_served(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? Millis(0) : found->second.last_served_at;
}

}  // namespace lotusyard::maintenance
