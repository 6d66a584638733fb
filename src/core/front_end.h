// The interface of the components that accept calls from clients.
#pragma once

#include "core/call.h"

namespace lotusyard::core {

// A front end must outlive the calls that it has passed to Dispatcher::admit().
class FrontEnd {
 public:
  virtual ~FrontEnd() = default;

  // Passes the final answer to the client; called at most once for each call, possibly before
  // Dispatcher::admit() returns.
  virtual void answer(CallId call, Answer&& answer) = 0;

  // Called right before an attempt of the call is sent. If it returns false, the attempt is not sent, and the
  // call ends.
  virtual bool before_attempt(CallId) { return true; }

  // waiting: the client is connected, and all input that it had sent by `read_since` has been read.
  // has_unread_input: older input may be unread, and it may be a CANCEL; or it is not known yet whether the
  //   client still waits for the answer. No attempt may be sent in this state.
  // disconnected: nobody waits for the answer.
  enum class ClientState { waiting, has_unread_input, disconnected };
  virtual ClientState client_state(CallId, Millis /*read_since*/) { return ClientState::waiting; }

  // Reads the input that the client has sent by now. It may end calls, so it must not be called while the
  // dispatcher executes a step.
  virtual void read_client_input(CallId) {}

  // The attempt that ended last did not run, and no other attempt of the call may have run.
  virtual void proved_not_run(CallId) {}
};

}  // namespace lotusyard::core
