#include "maintenance/host_observer.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::maintenance {
namespace {

constexpr Millis kTau{10000};      // memory of rates: about a keep-alive, like the module's of demand
constexpr Millis kCopyFor{10000};  // a copy that has not served for so long does not count as standing
constexpr double kAlone = 4;   // a call that waits for a load loses about so much more than one that moves
constexpr int kDownAfter = 3;  // failures on end
constexpr Millis kDownFor{10000};  // after the last of which a host is not taken for down any more

double faded(double rate, Millis since) { return rate * std::exp(-(since / kTau)); }

}  // namespace

void HostObserver::record_success(const std::string& host, std::uint64_t function, double worth, Millis now) {
  Host& h = hosts_[host];
  h.rate = faded(h.rate, now - h.at) + worth;
  h.at = h.served = now;
  h.failures = 0;
  if (functions_.count(function) == 0 && functions_.size() >= max_functions) make_room();
  Function& f = functions_[function];
  f.rate = faded(f.rate, now - f.at) + worth;
  f.at = now;
  f.hosts[host] = now;
  for (auto i = f.hosts.begin(); i != f.hosts.end();)
    i = now - i->second > kCopyFor ? f.hosts.erase(i) : std::next(i);
}

// Bounds the table of functions; the one place where it shrinks.
void HostObserver::make_room() {
  const auto oldest =
      std::min_element(functions_.begin(), functions_.end(),
                       [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
  functions_.erase(oldest);
}

void HostObserver::record_failure(const std::string& host, Millis now) {
  Host& h = hosts_[host];
  ++h.failures;
  h.failed = now;
}

double HostObserver::serving_value(const std::string& host, Millis now) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return 0;
  double out = faded(found->second.rate, now - found->second.at);
  for (const auto& [id, f] : functions_) {
    bool here = false, elsewhere = false;
    for (const auto& [other, at] : f.hosts) {
      if (now - at <= kCopyFor) (other == host ? here : elsewhere) = true;
    }
    if (here && !elsewhere) out += (kAlone - 1) * faded(f.rate, now - f.at);
  }
  return out / (kTau.count() / 1000);
}

bool HostObserver::is_down(const std::string& host, Millis now) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.failures >= kDownAfter &&
         now - found->second.failed <= kDownFor;
}

Millis HostObserver::last_served(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? Millis(0) : found->second.served;
}

}  // namespace lotusyard::maintenance
