#include "amqp/protocol_error.h"

#include "metrics/amqp_counters.h"

namespace lotusyard::amqp {

const metrics::Counter& counter_of(ProtocolError error) {
  switch (error) {
    case ProtocolError::content_interrupted:
      return metrics::kAmqpContentBrokenOff;
    case ProtocolError::frames_too_small:
      return metrics::kAmqpFramesTooSmall;
    case ProtocolError::malformed:
      break;
    case ProtocolError::no_plain_login:
      return metrics::kAmqpNoPlainLogin;
    case ProtocolError::out_of_order:
      return metrics::kAmqpOutOfOrder;
    case ProtocolError::silent:
      return metrics::kAmqpQuiet;
    case ProtocolError::setup_timeout:
      return metrics::kAmqpSetupLate;
    case ProtocolError::unexpected_content:
      return metrics::kAmqpStrayContent;
    case ProtocolError::unknown_channel:
      return metrics::kAmqpUnknownChannel;
    case ProtocolError::unknown_method:
      return metrics::kAmqpUnknownMethod;
  }
  return metrics::kAmqpMalformed;
}

}  // namespace lotusyard::amqp
