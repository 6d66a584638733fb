#include "compliance/log_entry_codec.h"

#include <array>
#include <initializer_list>

#include "compliance/certificate_codec.h"
#include "compliance/json_fields.h"

namespace lotusyard::compliance {
namespace {

using nlohmann::json;

// Stored names of the commands, in the order of the alternatives of `Command`.
constexpr std::array<const char*, std::variant_size_v<Command>> kCommandNames{"regime", "tenant", "certify",
                                                                              "revoke", "told",   "ended"};
constexpr std::size_t kMaxRegimesOfTenant = 64;

// Fields that say which certificate and member a command is about. All are validated in every entry.
struct TargetFields {
  std::string certificate;
  std::string member;
  std::uint64_t incarnation = 0;
  std::uint64_t revoked_at_index = 0;
};

// Optional fields that are empty or zero are not stored.
json encode_target_fields(const TargetFields& target) {
  json out = json::object();
  if (!target.certificate.empty()) {
    out["name"] = target.certificate;
  }
  if (!target.member.empty()) {
    out["member"] = target.member;
  }
  if (target.incarnation > 0) {
    out["life"] = target.incarnation;
  }
  if (target.revoked_at_index > 0) {
    out["round"] = target.revoked_at_index;
  }
  return out;
}

TargetFields parse_target_fields(const json& from, bool needs_certificate, bool needs_member) {
  TargetFields out;
  out.certificate = needs_certificate ? read_required_text(from, "name") : read_optional_text(from, "name");
  out.member = needs_member ? read_required_text(from, "member") : read_optional_text(from, "member");
  out.incarnation = read_unsigned(from, "life");
  out.revoked_at_index = read_unsigned(from, "round");
  return out;
}

json encode_command(const PutRegime& command) { return {{"regime", to_json(command.regime)}}; }

json encode_command(const PutTenant& command) {
  return {{"tenant", command.tenant}, {"regimes", command.regimes}};
}

json encode_command(const Certify& command) { return {{"certificate", to_json(command.certificate)}}; }

json encode_command(const Revoke& command) { return encode_target_fields({command.certificate, {}, 0, 0}); }

json encode_command(const Acknowledge& command) {
  return encode_target_fields(
      {command.certificate, command.member, command.incarnation, command.revoked_at_index});
}

json encode_command(const FinishRevocation& command) {
  return encode_target_fields({command.certificate, {}, 0, command.revoked_at_index});
}

Command parse_put_regime(const json& from) { return PutRegime{parse_regime(from.value("regime", json()))}; }

Command parse_put_tenant(const json& from) {
  PutTenant out;
  out.tenant = read_optional_text(from, "tenant");
  const json regimes = from.value("regimes", json());
  if (!regimes.is_array() || regimes.size() > kMaxRegimesOfTenant) {
    throw_field_error("regimes", "an array is needed");
  }
  for (const auto& name : regimes) {
    if (!name.is_string()) {
      throw_field_error("regimes", "texts are needed");
    }
    out.regimes.insert(name.get<std::string>());
  }
  return out;
}

Command parse_certify(const json& from) {
  return Certify{parse_certificate(from.value("certificate", json()))};
}

Command parse_revoke(const json& from) { return Revoke{parse_target_fields(from, true, false).certificate}; }

Command parse_acknowledge(const json& from) {
  const TargetFields target = parse_target_fields(from, true, true);
  return Acknowledge{target.certificate, target.member, target.incarnation, target.revoked_at_index};
}

Command parse_finish_revocation(const json& from) {
  const TargetFields target = parse_target_fields(from, true, false);
  return FinishRevocation{target.certificate, target.revoked_at_index};
}

using CommandParser = Command (*)(const json& from);

// In the order of `kCommandNames`.
constexpr std::array<CommandParser, kCommandNames.size()> kCommandParsers{
    &parse_put_regime, &parse_put_tenant,  &parse_certify,
    &parse_revoke,     &parse_acknowledge, &parse_finish_revocation};

CommandParser find_command_parser(const std::string& name) {
  for (std::size_t i = 0; i < kCommandNames.size(); ++i) {
    if (kCommandNames[i] == name) {
      return kCommandParsers[i];
    }
  }
  throw_field_error("t", "no entry is called " + name);
}

json encode_command_fields(const Command& command) {
  return std::visit([](const auto& typed_command) { return encode_command(typed_command); }, command);
}

// Null if the command uses all target fields that the entry has.
json parse_unused_fields(const json& from, const Command& command) {
  json unused = encode_target_fields(parse_target_fields(from, false, false));
  const json used = encode_command_fields(command);
  for (const auto& [key, value] : used.items()) {
    unused.erase(key);
  }
  return unused.empty() ? json() : unused;
}

}  // namespace

std::string encode_entry(const LogEntry& entry) {
  json out = encode_command_fields(entry.command);
  out["t"] = kCommandNames.at(entry.command.index());
  if (!entry.proposal_id.empty()) {
    out["id"] = entry.proposal_id;
  }
  if (entry.unused_fields.is_object()) {
    out.update(entry.unused_fields);
  }
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

LogEntry parse_entry(const json& from) {
  if (!from.is_object()) {
    throw_field_error("entry", "an object is needed");
  }
  reject_unknown_keys(
      from, "", {"t", "id", "regime", "certificate", "tenant", "regimes", "name", "member", "life", "round"});
  const CommandParser parse_command = find_command_parser(read_required_text(from, "t"));
  std::string proposal_id = read_optional_text(from, "id");
  Command command = parse_command(from);
  json unused_fields = parse_unused_fields(from, command);
  return {std::move(command), std::move(proposal_id), std::move(unused_fields)};
}

}  // namespace lotusyard::compliance
