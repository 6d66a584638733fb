// Starts one invoker as its file and its environment say.
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

// How the durable answers are opened, where a program keeps any.
using ResultStoreFactory = std::function<std::unique_ptr<idempotency::ResultStore>(
    const config::AmqpConfig&, core::Millis now, metrics::Counters&)>;

// The parts of an invoker that something more in the process may work with. All outlive it.
struct InvokerServices {
  net::EventLoop& loop;
  metrics::Counters& counters;
  endpoints::EndpointStates& endpoint_states;
  hosts::HostConnectionPool& host_connections;
  std::function<const core::Settings&()> settings;  // those in force
  std::function<void(double)> set_share;            // this process's part of what all may send a cold host
  std::string name;
};

// What a program adds to an invoker; the platform's adds nothing.
class InvokerExtension {
 public:
  virtual ~InvokerExtension() = default;
  virtual bool ready() const = 0;  // whether calls may come
  // The last look before anything new goes to a host: a call, a load of the function, or what names neither.
  virtual bool may_send(const std::string& host, const core::Call* call, std::uint64_t function) = 0;
  // Which hosts a call may go to at all; asked by the module for each. None: to all.
  virtual policy::HostFilter* host_filter() { return nullptr; }
  virtual void before_writes() = 0;  // in each turn, once all is decided
  virtual void attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) = 0;
  virtual void on_rejected(const core::Call&) {}  // a call that never went out
  virtual void drain() {}  // the process has been told to end, and answers what it has taken
  virtual std::optional<admin::Response> handle_request(
      const admin::Request& request) = 0;  // at the admin endpoint
};
using ExtensionFactory =
    std::function<std::unique_ptr<InvokerExtension>(const InvokerServices&, const nlohmann::json& file)>;

std::string environment(const char* name);  // empty if it is not set
config::Environment read_environment();
int run(const std::string& file, const ResultStoreFactory& make_store,
        const ExtensionFactory& make_extension = {});

}  // namespace lotusyard
