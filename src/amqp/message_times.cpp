#include "amqp/message_times.h"

#include <algorithm>
#include <cstdint>

#include "net/fields.h"

namespace lotusyard::amqp {
namespace {

constexpr Millis kTimestampUnit{1000};
// How far the clock of a publisher may be ahead of this one.
constexpr Millis kMaxPublisherAhead{1000};

// Returns the earliest time at which the message can have been published: timestamps are rounded down to
// whole seconds.
std::optional<Millis> earliest_publication(const Properties& properties) {
  const auto& timestamp = properties.timestamp;
  if (!timestamp || *timestamp > UINT32_MAX)
    return std::nullopt;
  return kTimestampUnit * static_cast<double>(*timestamp);
}

}  // namespace

std::optional<Millis> time_left(const Properties& properties, const WallTime& wall) {
  const auto earliest = earliest_publication(properties);
  const auto expiration_ms = net::parse_whole(properties.expiration, UINT32_MAX);
  if (!earliest || properties.expiration.empty() || !expiration_ms)
    return std::nullopt;
  const Millis latest = *earliest + kTimestampUnit;
  const Millis waited = std::max(wall.current - latest, Millis(0));
  return Millis(static_cast<double>(*expiration_ms)) - waited;
}

bool limit_timeout(const Properties& properties, const WallTime& wall, Millis since_arrival,
                   Millis& timeout) {
  const auto remaining = time_left(properties, wall);
  if (!remaining)
    return false;
  timeout = std::min(timeout, *remaining + since_arrival);
  return timeout.count() <= 0;
}

std::optional<Millis> age_at_most(const Properties& properties, const WallTime& wall) {
  const auto earliest = earliest_publication(properties);
  if (!earliest || *earliest > wall.earliest + kMaxPublisherAhead)
    return std::nullopt;
  return std::max(wall.latest - *earliest, Millis(0));
}

}  // namespace lotusyard::amqp
