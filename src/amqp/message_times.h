// The times that a message carries, compared with the wall clock. No I/O; the clock's reading is passed in.
#pragma once

#include <optional>

#include "amqp/content_header.h"
#include "net/wall_clock.h"

namespace lotusyard::amqp {

using net::Millis;
using net::WallTime;

// Returns how long the message's sender still waits, by the current setting of the clock; zero or less if the
// message has expired. At most its expiration. Returns nothing if the message has no timestamp or expiration.
std::optional<Millis> time_left(const Properties& properties, const WallTime& wall);

// Ends the timeout of a call, which counts from its arrival, when the message expires; returns true if it has
// expired, since nobody waits for the answer then. By the current setting of the clock: if it has been set
// back, every call would seem to have expired by its earlier setting.
bool limit_timeout(const Properties& properties, const WallTime& wall, Millis since_arrival, Millis& timeout);

// Returns the greatest age that the message can have by any setting of the clock that may be the right one.
// Returns nothing if the age is unknown: the message has no timestamp, or one in the future.
std::optional<Millis> age_at_most(const Properties& properties, const WallTime& wall);

}  // namespace lotusyard::amqp
