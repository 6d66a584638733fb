#include "compliance/certificate_codec.h"

#include "compliance/json_fields.h"

namespace lotusyard::compliance {
namespace {

using nlohmann::json;

Certificate::State parse_state(const json& from) {
  const std::uint64_t state = read_unsigned(from, "state");
  if (state > static_cast<std::uint64_t>(Certificate::State::ended)) {
    throw_field_error("state", "there is no such");
  }
  return static_cast<Certificate::State>(state);
}

}  // namespace

json to_json(const Regime& regime) {
  return {{"name", regime.name}, {"zone", regime.zone}, {"exclusive", regime.exclusive}};
}

Regime parse_regime(const json& from) {
  if (!from.is_object()) {
    throw_field_error("regime", "an object is needed");
  }
  reject_unknown_keys(from, "regime.", {"name", "zone", "exclusive"});
  return {read_required_text(from, "name"), read_optional_text(from, "zone"), read_flag(from, "exclusive")};
}

// The keys differ from the names of the fields: they are stored, so they must not change.
json to_json(const Certificate& certificate) {
  return {{"name", certificate.name},
          {"host", certificate.host},
          {"regime", certificate.regime},
          {"from_ms", certificate.valid_from.count()},
          {"until_ms", certificate.valid_until.count()},
          {"outlives_start", certificate.survives_restart},
          {"host_life", certificate.host_incarnation},
          {"state", static_cast<int>(certificate.state)},
          {"round", certificate.revoked_at_index}};
}

Certificate parse_certificate(const json& from) {
  if (!from.is_object()) {
    throw_field_error("certificate", "an object is needed");
  }
  reject_unknown_keys(
      from, "certificate.",
      {"name", "host", "regime", "from_ms", "until_ms", "outlives_start", "host_life", "state", "round"});
  Certificate out;
  out.name = read_required_text(from, "name");
  out.host = read_required_text(from, "host");
  out.regime = read_required_text(from, "regime");
  out.valid_from = Millis(read_number(from, "from_ms"));
  out.valid_until = Millis(read_number(from, "until_ms"));
  if (out.valid_from >= out.valid_until) {
    throw_field_error("until_ms", "expires before it is issued");
  }
  out.survives_restart = read_flag(from, "outlives_start");
  if (from.contains("host_life")) {
    out.host_incarnation = read_number(from, "host_life");
  }
  out.state = parse_state(from);
  out.revoked_at_index = read_unsigned(from, "round");
  return out;
}

}  // namespace lotusyard::compliance
