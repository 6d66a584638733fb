// Runs one invoker, and what a program may add to it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "admin/admin_endpoint.h"
#include "config/config.h"
#include "core/dispatcher.h"
#include "endpoints/endpoint_states.h"
#include "hosts/connection_pool.h"
#include "idempotency/result_store.h"
#include "metrics/counters.h"
#include "net/event_loop.h"

namespace lotusyard {

// Opens the store of durable results; empty in a program without one.
using ResultStoreFactory = std::function<std::unique_ptr<idempotency::ResultStore>(
    const config::AmqpConfig&, core::Millis now, metrics::Counters&)>;

// The parts of an invoker that an extension works with. All of them outlive it.
struct InvokerServices {
  net::EventLoop& loop;
  metrics::Counters& counters;
  endpoints::EndpointStates& endpoint_states;
  hosts::HostConnectionPool& host_connections;
  std::function<const core::Settings&()> settings;  // returns those in force
  // Sets this process's share (0 to 1) of what all invokers together may send to a host in slow start.
  std::function<void(double)> set_share;
  std::string name;  // of the invoker
};

// What a program adds to an invoker. All calls come from the event loop. The platform's program adds nothing.
class InvokerExtension {
 public:
  virtual ~InvokerExtension() = default;

  // True if the invoker may serve clients.
  virtual bool ready() const = 0;

  // The final check right before something new is written to a host: a call, a load of `function`, or, with
  // neither, a message of another kind.
  virtual bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) = 0;

  // Which hosts a call may go to at all; the scheduler asks for each host. Null: all of them. The extension
  // owns it.
  virtual policy::HostFilter* host_filter() { return nullptr; }

  // Called in each iteration of the event loop, after all decisions and before anything is written.
  virtual void before_writes() = 0;

  virtual void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) = 0;

  // Called when a call is rejected that was never sent to a host.
  virtual void on_rejected(const core::Call&) {}

  // Called when the graceful shutdown begins; calls that are open are still answered.
  virtual void drain() {}

  // Handles a request to the admin endpoint. Returns nothing if the path is not one of the extension's.
  virtual std::optional<admin::Response> handle_request(const admin::Request& request) = 0;
};

// Makes the extension from the services of the invoker and its configuration file; may return null.
using ExtensionFactory =
    std::function<std::unique_ptr<InvokerExtension>(const InvokerServices&, const nlohmann::json& file)>;

// Returns the value of an environment variable; empty if it is not set.
std::string environment(const char* name);

// Returns what the environment sets of the configuration.
config::Environment read_environment();

// Runs an invoker from the configuration file until it has shut down; returns the exit status. Throws
// config::ConfigError, or another exception, if it cannot start.
int run(const std::string& file, const ResultStoreFactory& make_store,
        const ExtensionFactory& make_extension = {});

}  // namespace lotusyard
