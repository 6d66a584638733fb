#include "gossip/message.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "net/socket.h"

namespace lotusyard::gossip {
namespace {

using nlohmann::json;

constexpr std::size_t kRowsMost = 20000, kNameMost = 64, kHostMost = 128;
constexpr std::uint64_t kRoundMost = 1ULL << 40;  // no member refutes so often; a jump there is no round

json row_of(const MemberRecord& p) {
  return json::array(
      {p.name, p.address, p.incarnation, p.refutation, static_cast<int>(p.status), p.suspected_by});
}
json row_of(const HostObservation& f) {
  return json::array({f.host, f.host_incarnation, f.observer, f.observer_incarnation, f.sequence, f.usable});
}

bool text(const json& from, std::size_t least, std::size_t most, std::string& out) {
  if (!from.is_string()) return false;
  out = from.get<std::string>();
  return out.size() >= least && out.size() <= most;
}
bool number(const json& from, std::uint64_t& out) {
  if (!from.is_number_unsigned()) return false;
  out = from.get<std::uint64_t>();
  return true;
}

bool read(const json& row, MemberRecord& out) {
  if (!row.is_array() || row.size() != 6 || !row[4].is_number_unsigned()) return false;
  const auto standing = row[4].get<std::uint64_t>();
  out.status = static_cast<MemberStatus>(std::min<std::uint64_t>(standing, 4));
  return text(row[0], 1, kNameMost, out.name) && text(row[1], 1, 255, out.address) &&
         net::valid_address(out.address) && number(row[2], out.incarnation) &&
         number(row[3], out.refutation) && out.refutation <= kRoundMost && standing <= 4 &&
         text(row[5], 0, kNameMost, out.suspected_by);
}

bool read(const json& row, HostObservation& out) {
  if (!row.is_array() || row.size() != 6 || !row[1].is_number() || !row[5].is_boolean()) return false;
  out.host_incarnation = row[1].get<double>();
  out.usable = row[5].get<bool>();
  return text(row[0], 1, kHostMost, out.host) && std::isfinite(out.host_incarnation) &&
         text(row[2], 1, kNameMost, out.observer) && number(row[3], out.observer_incarnation) &&
         number(row[4], out.sequence);
}

template <typename Row>
bool read_rows(const json& from, std::vector<Row>& out) {
  if (!from.is_array() || from.size() > kRowsMost) return false;
  out.resize(from.size());
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (!read(from[i], out[i])) return false;
  }
  return true;
}

}  // namespace

std::string encode_message(const Message& m) {
  json peers = json::array(), facts = json::array();
  for (const auto& p : m.members) peers.push_back(row_of(p));
  for (const auto& f : m.observations) facts.push_back(row_of(f));
  return json::array({static_cast<int>(m.kind), m.number, row_of(m.self), m.subject, peers, facts})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<Message> decode_message(const std::string& body) {
  const json from = json::parse(body, nullptr, false);
  if (!from.is_array() || from.size() != 6 || !from[0].is_number_unsigned()) return std::nullopt;
  const auto kind = from[0].get<std::uint64_t>();
  Message out;
  if (kind > static_cast<std::uint64_t>(Message::Kind::sync_reply)) return std::nullopt;
  out.kind = static_cast<Message::Kind>(kind);
  const bool sound = number(from[1], out.number) && read(from[2], out.self) &&
                     text(from[3], 0, kNameMost, out.subject) && read_rows(from[4], out.members) &&
                     read_rows(from[5], out.observations);
  // One that leaves says so itself; nobody speaks as a dead one.
  if (!sound || out.self.status == MemberStatus::dead) return std::nullopt;
  return out;
}

}  // namespace lotusyard::gossip
