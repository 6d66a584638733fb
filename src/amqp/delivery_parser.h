// Parses deliveries into calls. No I/O; times are passed in.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "amqp/delivery.h"
#include "amqp/publication.h"
#include "core/types.h"

namespace lotusyard::amqp {

// Why a delivery is not a valid call.
enum class DeliveryError {
  oversized,
  no_message_id,
  unknown_class,
  invalid_function,
  invalid_timeout,
  invalid_memory,
  invalid_lanes
};

// Returns the publication that a delivery is of, or nothing if its message does not name where the answer
// goes. Without a correlation id the message id is used.
std::optional<Publication> publication_of(const Properties& properties);

// The key that identifies a message's call. Every delivery of a message has the same key: its message id
// or, if it has none, its reply address.
std::string call_key(const Properties& properties);
// Whether the key is a message id.
bool is_message_id(const std::string& call_key);

// The class that a message names; null if there is no such class.
const policy::ClassSettings* named_class(const Delivery& delivery, const core::Settings& settings);

// Parses the message's headers; the body and the reference of the call are left empty. `arrived` is when the
// delivery arrived; the call's timeout counts from there.
std::variant<core::Call, DeliveryError> parse_call(const Delivery& delivery, const core::Settings& settings,
                                                   core::Millis arrived);

}  // namespace lotusyard::amqp
