#include "control/field_codec.h"

namespace lotusyard::control {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;

}  // namespace

void FieldWriter::duration(Millis value) {
  const bool is_positive = value.count() > 0;
  u64(is_positive ? static_cast<std::uint64_t>(value.count() * kMicrosecondsPerMillisecond) : 0);
}

std::string FieldReader::name() {
  std::string value = text();
  if (value.size() > kMaxNameBytes)
    reject();
  return value;
}

Millis FieldReader::duration() {
  const Millis value(static_cast<double>(u64()) / kMicrosecondsPerMillisecond);
  if (value > kMaxWireDuration)
    reject();
  return value;
}

}  // namespace lotusyard::control
