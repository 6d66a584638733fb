#include "gossip/message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "net/socket.h"

namespace lotusyard::gossip {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRows = 20000;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxHostLength = 128;
constexpr std::size_t kMaxAddressLength = 255;
// No member refutes this often; a greater count is malformed.
constexpr std::uint64_t kMaxRefutation = 1ULL << 40;
constexpr auto kLastStatus = static_cast<std::uint64_t>(MemberStatus::left);
constexpr auto kLastKind = static_cast<std::uint64_t>(Message::Kind::sync_reply);
constexpr std::size_t kFields = 6;  // of a message, of a member record and of a host observation

json to_row(const MemberRecord& record) {
  return json::array({record.name, record.address, record.incarnation, record.refutation,
                      static_cast<int>(record.status), record.suspected_by});
}

json to_row(const HostObservation& observation) {
  return json::array({observation.host, observation.host_incarnation, observation.observer,
                      observation.observer_incarnation, observation.sequence, observation.usable});
}

// The read functions return false if the value is malformed; `out` is then unspecified.
bool read_text(const json& value, std::size_t max_length, std::string& out) {
  if (!value.is_string())
    return false;
  out = value.get<std::string>();
  return out.size() <= max_length;
}

bool read_nonempty_text(const json& value, std::size_t max_length, std::string& out) {
  return read_text(value, max_length, out) && !out.empty();
}

bool read_number(const json& value, std::uint64_t& out) {
  if (!value.is_number_unsigned())
    return false;
  out = value.get<std::uint64_t>();
  return true;
}

bool is_row(const json& value) { return value.is_array() && value.size() == kFields; }

bool read_status(const json& value, MemberStatus& out) {
  std::uint64_t status = 0;
  if (!read_number(value, status) || status > kLastStatus)
    return false;
  out = static_cast<MemberStatus>(status);
  return true;
}

bool read_address(const json& value, std::string& out) {
  return read_nonempty_text(value, kMaxAddressLength, out) && net::valid_address(out);
}

bool read_row(const json& row, MemberRecord& out) {
  if (!is_row(row))
    return false;
  if (!read_nonempty_text(row[0], kMaxNameLength, out.name))
    return false;
  if (!read_address(row[1], out.address))
    return false;
  if (!read_number(row[2], out.incarnation))
    return false;
  if (!read_number(row[3], out.refutation) || out.refutation > kMaxRefutation)
    return false;
  if (!read_status(row[4], out.status))
    return false;
  return read_text(row[5], kMaxNameLength, out.suspected_by);
}

bool read_row(const json& row, HostObservation& out) {
  if (!is_row(row))
    return false;
  if (!row[1].is_number() || !row[5].is_boolean())
    return false;
  out.host_incarnation = row[1].get<double>();
  out.usable = row[5].get<bool>();
  if (!std::isfinite(out.host_incarnation))
    return false;
  if (!read_nonempty_text(row[0], kMaxHostLength, out.host))
    return false;
  if (!read_nonempty_text(row[2], kMaxNameLength, out.observer))
    return false;
  return read_number(row[3], out.observer_incarnation) && read_number(row[4], out.sequence);
}

template <typename Row>
bool read_rows(const json& rows, std::vector<Row>& out) {
  if (!rows.is_array() || rows.size() > kMaxRows)
    return false;
  out.resize(rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (!read_row(rows[i], out[i]))
      return false;
  }
  return true;
}

bool read_kind(const json& value, Message::Kind& out) {
  std::uint64_t kind = 0;
  if (!read_number(value, kind) || kind > kLastKind)
    return false;
  out = static_cast<Message::Kind>(kind);
  return true;
}

bool read_message(const json& fields, Message& out) {
  if (!is_row(fields))
    return false;
  if (!read_kind(fields[0], out.kind))
    return false;
  if (!read_number(fields[1], out.number))
    return false;
  if (!read_row(fields[2], out.self))
    return false;
  if (!read_text(fields[3], kMaxNameLength, out.subject))
    return false;
  return read_rows(fields[4], out.members) && read_rows(fields[5], out.observations);
}

}  // namespace

std::string encode_message(const Message& message) {
  json members = json::array();
  for (const auto& record : message.members)
    members.push_back(to_row(record));
  json observations = json::array();
  for (const auto& observation : message.observations)
    observations.push_back(to_row(observation));
  const json fields = json::array({static_cast<int>(message.kind), message.number, to_row(message.self),
                                   message.subject, members, observations});
  return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Message> decode_message(const std::string& body) {
  const json fields = json::parse(body, nullptr, false);
  Message message;
  if (!read_message(fields, message))
    return std::nullopt;
  // A member that leaves announces it itself, but no member sends messages as a dead one.
  if (message.self.status == MemberStatus::dead)
    return std::nullopt;
  return message;
}

}  // namespace lotusyard::gossip
