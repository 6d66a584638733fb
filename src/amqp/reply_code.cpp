#include "amqp/reply_code.h"

#include <algorithm>
#include <iterator>

namespace lotusyard::amqp {
namespace {

struct ReplyCode {
  std::uint16_t code;
  const char* name;
  RetryAdvice advice;
};

// All codes of the specification's section 1.2.
constexpr ReplyCode kReplyCodes[] = {{kReplySuccess, "reply_success", RetryAdvice::soon},
                                     {311, "content_too_large", RetryAdvice::later},
                                     {313, "no_consumers", RetryAdvice::later},
                                     {320, "connection_forced", RetryAdvice::soon},
                                     {402, "invalid_path", RetryAdvice::after_operator},
                                     {kAccessRefused, "access_refused", RetryAdvice::after_operator},
                                     {404, "not_found", RetryAdvice::after_operator},
                                     {405, "resource_locked", RetryAdvice::later},
                                     {406, "precondition_failed", RetryAdvice::after_operator},
                                     {501, "frame_error", RetryAdvice::later},
                                     {502, "syntax_error", RetryAdvice::later},
                                     {503, "command_invalid", RetryAdvice::later},
                                     {504, "channel_error", RetryAdvice::later},
                                     {505, "unexpected_frame", RetryAdvice::later},
                                     {506, "resource_error", RetryAdvice::later},
                                     {530, "not_allowed", RetryAdvice::after_operator},
                                     {540, "not_implemented", RetryAdvice::after_operator},
                                     {541, "internal_error", RetryAdvice::soon}};

const ReplyCode* find_reply_code(std::uint16_t code) {
  const auto* const found = std::find_if(std::begin(kReplyCodes), std::end(kReplyCodes),
                                         [&](const ReplyCode& known) { return known.code == code; });
  return found == std::end(kReplyCodes) ? nullptr : found;
}

}  // namespace

RetryAdvice retry_advice(std::uint16_t code) {
  if (const ReplyCode* known = find_reply_code(code))
    return known->advice;
  return code == kNoReplyCode ? RetryAdvice::soon : RetryAdvice::later;
}

const char* reply_code_name(std::uint16_t code) {
  if (const ReplyCode* known = find_reply_code(code))
    return known->name;
  return code == kNoReplyCode ? "none" : "other";
}

}  // namespace lotusyard::amqp
