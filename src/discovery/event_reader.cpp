#include "discovery/event_reader.h"

#include <utility>

#include "config/json_read.h"

namespace lotusyard::discovery {
namespace {

using config::key;
using config::text;
using core::HostState;

// A host whose phase is unknown gets no new calls.
HostState read_state(const std::string& phase) {
  if (phase == "ready")
    return HostState::ready;
  return phase == "gone" ? HostState::removed : HostState::draining;
}

core::ListedHost read_host(const nlohmann::json& row) {
  core::ListedHost host;
  host.entry.host = text(key(row, "id"));
  host.address = text(key(row, "host_port"));
  host.entry.zone = text(key(row, "locality"));
  host.entry.kind = text(key(row, "flavor"));
  host.entry.cell = config::whole(key(row, "cell"));
  host.entry.weight = config::number(key(row, "size"), 1);
  host.entry.started = config::millis(key(row, "up_since_ms"));
  host.entry.state = read_state(text(key(row, "phase")));
  return host;
}

}  // namespace

EventReader::Result EventReader::read_line(const std::string& line, core::HostListUpdate& update) {
  const auto parsed = nlohmann::json::parse(line, nullptr, false);
  if (parsed.is_number_unsigned())
    return read_heartbeat(parsed.get<std::uint64_t>());
  return read_event(parsed, update);
}

EventReader::Result EventReader::read_heartbeat(std::uint64_t sequence) const {
  if (sequence == last_)
    return Result::heartbeat;
  return sequence > last_ ? Result::gap : Result::ignored;
}

EventReader::Result EventReader::read_event(const nlohmann::json& event, core::HostListUpdate& update) {
  if (!key(event, "seq").is_number_unsigned())
    return Result::malformed;
  const std::uint64_t sequence = config::large(key(event, "seq"));
  // A heartbeat may name an event before that event arrives; without this check it would count as the event.
  if (event.size() == 1)
    return read_heartbeat(sequence);
  if (sequence <= last_)
    return Result::ignored;
  if (sequence != last_ + 1)
    return Result::gap;
  last_ = sequence;
  const auto& list = key(event, "fleet");
  if (!list.is_object())
    return Result::ignored;
  update.complete = config::flag(key(list, "complete"));
  update.hosts.clear();
  for (const auto& row : key(list, "members")) {
    core::ListedHost host = read_host(row);
    if (!host.entry.host.empty())
      update.hosts.push_back(std::move(host));
  }
  return Result::list_update;
}

}  // namespace lotusyard::discovery
