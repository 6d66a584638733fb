#include "amqp/message_times.h"

#include <algorithm>
#include <cstdint>

#include "net/fields.h"

namespace lotusyard::amqp {
namespace {

constexpr Millis kTimestampUnit{1000};
constexpr Millis kPublisherAhead{1000};  // by so much a publisher's clock may be ahead of this one

// Timestamps are cut to whole seconds, so this is when the message was published at the earliest.
std::optional<Millis> published(const Properties& properties) {
  const auto& timestamp = properties.timestamp;
  if (!timestamp || *timestamp > UINT32_MAX)
    return std::nullopt;
  return kTimestampUnit * static_cast<double>(*timestamp);
}

}  // namespace

std::optional<Millis> time_left(const Properties& properties, const WallTime& wall) {
  const auto from = published(properties);
  const auto expiration = net::parse_whole(properties.expiration, UINT32_MAX);
  if (!from || properties.expiration.empty() || !expiration)
    return std::nullopt;
  const Millis waited = wall.current - (*from + kTimestampUnit);
  return Millis(static_cast<double>(*expiration)) - std::max(waited, Millis(0));
}

std::optional<Millis> age_at_most(const Properties& properties, const WallTime& wall) {
  const auto from = published(properties);
  if (!from || *from > wall.earliest + kPublisherAhead)
    return std::nullopt;
  return std::max(wall.latest - *from, Millis(0));
}

}  // namespace lotusyard::amqp
