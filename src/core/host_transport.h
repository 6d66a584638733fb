// The interface of the component that sends attempts and other requests to hosts.
#pragma once

#include <cstdint>
#include <string>

#include "core/attempt.h"
#include "core/call.h"

namespace lotusyard::core {

// Outcomes are reported to the Dispatcher, never from inside these calls.
class HostTransport {
 public:
  virtual ~HostTransport() = default;

  // Sends the attempt, or reports later that it could not be sent. `call` need not outlive this call.
  virtual void send_attempt(const Attempt& attempt, const std::string& host, const Call& call,
                            Millis attempt_timeout) = 0;

  // Ends the attempt, whose outcome is not reported any more. Returns true if the attempt may have run.
  virtual bool cancel_attempt(const Attempt& attempt) = 0;

  // Checks the host's health; ends with Dispatcher::probe_ended().
  virtual void probe(const std::string& host) = 0;

  // Orders the host to hold that many instances of the function; ends with Dispatcher::load_ended().
  virtual void load_copies(const std::string& host, std::uint64_t function, int copies) = 0;

  // Notifies the host that it may unload its instances of the function.
  virtual void unload(const std::string& host, std::uint64_t function) = 0;
};

}  // namespace lotusyard::core
