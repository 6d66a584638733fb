// The reply codes with which a broker closes a connection or a channel.
#pragma once

#include <cstdint>

namespace lotusyard::amqp {

inline constexpr std::uint16_t kNoReplyCode = 0;  // the connection ended without one
inline constexpr std::uint16_t kReplySuccess = 200;
inline constexpr std::uint16_t kAccessRefused = 403;

// When it makes sense to connect again after a reply code.
enum class RetryAdvice {
  soon,           // the broker is shutting down or has failed: another one may serve
  later,          // may pass by itself: a locked queue, a lack of resources
  after_operator  // lasts until somebody changes the configuration or the broker; retried rarely
};

// A code that the specification does not have is treated as one that may pass.
RetryAdvice retry_advice(std::uint16_t code);
// The name in the specification, for counters and logs: do not change one. "none" without a code, "other" for
// an unknown one.
const char* reply_code_name(std::uint16_t code);

}  // namespace lotusyard::amqp
