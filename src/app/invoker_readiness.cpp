// Monitors the age of the endpoint list and the readiness of hosts, and logs and counts their changes.
#include <iostream>

#include "app/invoker.h"
#include "metrics/call_counters.h"
#include "metrics/host_counters.h"

namespace lotusyard {
namespace {

using hosts::ReadinessEvent;

// The discovery stream sends a heartbeat this often.
constexpr core::Millis kHeartbeatInterval{1000};
constexpr std::size_t kMaxPrintedHosts = 50;

std::string seconds(core::Millis duration) {
  const std::string digits = std::to_string(duration.count() / 1000);
  return digits.substr(0, digits.find('.') + 2) + " s";
}

}  // namespace

void Invoker::watch_readiness() {
  hosts::ReadinessMonitor& monitor = host_connections_.readiness_monitor();
  monitor.observe([this](const ReadinessEvent& event) { log_readiness(event); });
  dispatcher_.observe_rejections([this](const core::Call& call) { on_rejected(call); });
  // The file holds the events up to the start; the iteration started before the file was read.
  monitor.confirm_configured_list(loop_.iteration_started());
  monitor.set_terms(readiness_terms());
}

hosts::ReadinessTerms Invoker::readiness_terms() const {
  const core::Millis interval = config().xds ? config().xds->reread : kHeartbeatInterval;
  return hosts::readiness_terms(config().settings, interval);
}

void Invoker::log_readiness(const ReadinessEvent& event) {
  const std::string sequence =
      discovery_ ? ", last sequence " + std::to_string(discovery_->last_sequence()) : std::string();
  std::cout << "lotusyard " << config().name << ": ";
  switch (event.kind) {
    case ReadinessEvent::Kind::list_expired:
      std::cout << "endpoint list current -> expired, not confirmed for " << seconds(event.list_age)
                << sequence << "; hosts without new work: " << event.withheld_hosts;
      break;
    case ReadinessEvent::Kind::list_confirmed:
      std::cout << "endpoint list expired -> current, after " << seconds(event.list_age) << sequence
                << "; hosts without new work: " << event.withheld_hosts;
      break;
    case ReadinessEvent::Kind::host_withheld:
      std::cout << "host " << event.host << " ready -> draining by its own word, endpoint list "
                << seconds(event.list_age) << " old" << sequence;
      break;
    case ReadinessEvent::Kind::host_readmitted:
      std::cout << "host " << event.host << " draining by its own word -> ready, endpoint list "
                << seconds(event.list_age) << " old" << sequence;
      break;
  }
  std::cout << std::endl;
}

void Invoker::on_rejected(const core::Call& call) {
  if (!host_connections_.readiness_monitor().is_list_current())
    counters_.add(metrics::kCallsRefusedListExpired);
  if (extension_)
    extension_->on_rejected(call);
}

void Invoker::print_counters() {
  const hosts::ReadinessMonitor& monitor = host_connections_.readiness_monitor();
  counters_.set(metrics::kEndpointsListAge, static_cast<std::uint64_t>(monitor.list_age().count()));
  const policy::FunctionTableSize functions = dispatcher_.function_table_size();
  counters_.set(metrics::kFunctionsKnown, functions.functions);
  counters_.set(metrics::kFunctionsBytes, functions.bytes);
  counters_.set(metrics::kFunctionsEvicted, functions.evicted);
  counters_.set(metrics::kKeysKnown, dispatcher_.idempotency_keys().size());
  counters_.set(metrics::kKeysBytes, dispatcher_.idempotency_keys().bytes());
  counters_.set(metrics::kHostsEndedRefs, host_connections_.ended_refs());
  counters_.print(std::cout);
  monitor.print_withheld(std::cout, kMaxPrintedHosts);
}

}  // namespace lotusyard
