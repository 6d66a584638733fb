#include "discovery/log.h"

#include <utility>

#include "config/json_read.h"

namespace lotusyard::discovery {
namespace {

using config::key;
using config::text;
using core::HostState;

// No new calls go to a host whose state is unknown.
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

Log::Read Log::line(const std::string& line, core::HostListUpdate& update) {
  const auto parsed = nlohmann::json::parse(line, nullptr, false);
  if (parsed.is_number_unsigned())
    return read_heartbeat(parsed.get<std::uint64_t>());
  return event(parsed, update);
}

Log::Read Log::read_heartbeat(std::uint64_t sequence) const {
  if (sequence == last_)
    return Read::heartbeat;
  return sequence > last_ ? Read::gap : Read::nothing;
}

Log::Read Log::event(const nlohmann::json& event, core::HostListUpdate& update) {
  if (!key(event, "seq").is_number_unsigned())
    return Read::malformed;
  const std::uint64_t sequence = config::large(key(event, "seq"));
  // Without this, a heartbeat that names an event before it arrives would be taken for the event.
  if (event.size() == 1)
    return read_heartbeat(sequence);
  if (sequence <= last_)
    return Read::nothing;
  if (sequence != last_ + 1)
    return Read::gap;
  last_ = sequence;
  const auto& list = key(event, "fleet");
  if (!list.is_object())
    return Read::nothing;
  update.complete = config::flag(key(list, "complete"));
  update.hosts.clear();
  for (const auto& row : key(list, "members")) {
    core::ListedHost host = read_host(row);
    if (!host.entry.host.empty())
      update.hosts.push_back(std::move(host));
  }
  return Read::news;
}

}  // namespace lotusyard::discovery
