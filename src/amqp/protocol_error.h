// The reasons for which this side closes a connection to a broker.
#pragma once

#include "metrics/counter.h"

namespace lotusyard::amqp {

enum class ProtocolError {
  content_interrupted,  // a method arrived in the middle of a message
  frames_too_small,     // the broker's maximum is below the specification's minimum
  malformed,            // a frame or a method cannot be parsed
  no_plain_login,       // the broker does not offer the PLAIN mechanism
  out_of_order,         // a method that the handshake does not expect now
  silent,               // no bytes for two heartbeat intervals
  setup_timeout,        // the handshake took too long
  unexpected_content,   // content without a delivery
  unknown_channel,      // a frame of a channel that was not opened
  unknown_method        // a method that is not in use
};

// The counter of connections that were closed for this reason.
const metrics::Counter& counter_of(ProtocolError error);

}  // namespace lotusyard::amqp
