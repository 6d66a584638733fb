// Parses a CALL command into a call for the dispatcher.
#pragma once

#include <variant>

#include "core/types.h"
#include "resp/parser.h"

namespace lotusyard::resp {

enum class CallParseError {
  wrong_word_count,
  unreadable_fields,  // a field is missing, repeated or has no value of its type
};

// Parses CALL, tag, class, fields and, where there is one, body. The fields are those of the protocol page:
// `ref`, `lookup` (the function), `allow` (the time-out in ms), `effort` (the cost hint), `project` (the
// tenant), `replay` (the idempotency key), `dup` and `spec`. The dispatcher checks whether their
// values are in range. `arrived` is when the call can have been sent at the earliest: its time-out counts
// from then.
std::variant<core::Call, CallParseError> parse_call(Words&& command, core::Millis arrived);

}  // namespace lotusyard::resp
