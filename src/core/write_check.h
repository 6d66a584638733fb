// The last check of an attempt, right before its first byte goes to the kernel.
#pragma once

#include "core/open_call.h"

namespace lotusyard::core {

enum class WriteCheck {
  // The client waits for the answer: the attempt may be written.
  allowed,
  // The client may have cancelled. Before the attempt may be written, the client's input has to be read
  // (Dispatcher::read_client_input()) and the check repeated.
  after_reading_client,
  // The attempt must not be written; it is cancelled when its call ends, which is about to happen.
  client_disconnected,
  deadline_passed
};

// `decided_at` is when the decision to send the attempt was made; all input that the client sent before then
// must have been read.
WriteCheck check_before_write(const OpenCall& open, Millis decided_at, Millis now);

}  // namespace lotusyard::core
