// What the times that a message carries say, by the wall clock. No I/O; the clock's reading is passed in.
#pragma once

#include <optional>

#include "amqp/wire.h"
#include "net/wall_clock.h"

namespace lotusyard::amqp {

using net::Millis;
using net::WallTime;

// How long its caller still waits, by the clock as it is set now; not more than it waits at all. Nothing: the
// message does not say.
std::optional<Millis> time_left(const Properties& properties, const WallTime& wall);

// The greatest age that the message can have by any setting of the clock that is in doubt. Nothing: it does
// not say, or it is stamped in the future by one of them and may be of any age.
std::optional<Millis> age_at_most(const Properties& properties, const WallTime& wall);

}  // namespace lotusyard::amqp
