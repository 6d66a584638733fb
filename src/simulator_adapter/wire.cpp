#include "wire.h"

#include <cmath>
#include <type_traits>
#include <utility>

#include "config/json_read.h"
#include "config/settings.h"

namespace lotusyard::simulator_adapter {
namespace {

using namespace lotusyard::config;

const std::string& needed_text(const json& value, const char* what) {
  if (!value.is_string())
    throw WireError(std::string("no ") + what + " where one is needed");
  return value.get_ref<const std::string&>();
}

Outcome outcome(const json& value) {
  static const std::map<std::string, Outcome> words = {
      {"GOOD", Outcome::ok},       {"BAD", Outcome::error},        {"FULL", Outcome::at_capacity},
      {"LATE", Outcome::timeout},  {"RST", Outcome::reset},        {"NOCONN", Outcome::connect_failed},
      {"NOP", Outcome::never_ran}, {"MISS", Outcome::no_instance}, {"CXL", Outcome::cancelled}};
  return word(text(value), words, Outcome::error);
}

Warmth warmth(int remark) {
  const int low = remark & 7;
  return low >= 1 && low <= 4 ? static_cast<Warmth>(low) : Warmth::unknown;
}

Report report(const json& row) {
  if (!row.is_array())
    return std::nullopt;
  std::vector<double> values;
  for (const auto& value : row)
    values.push_back(number(value));
  return values;
}

HostEntry entry(const json& row) {
  if (!row.is_array())
    throw WireError("a list entry is no array");
  HostEntry read;
  read.host = needed_text(at(row, 0), "worker");
  read.cell = whole(at(row, 1));
  read.weight = number(at(row, 2), 1);
  read.kind = text(at(row, 3));
  const int state = whole(at(row, 4), 2);
  read.state = state == 0 ? HostState::removed : state == 1 ? HostState::draining : HostState::ready;
  read.started = millis(at(row, 5));
  read.zone = text(at(row, 6));
  return read;
}

ListKind list_kind(int code) {
  switch (code) {
    case 1:
      return ListKind::delta;
    case 2:
      return ListKind::cached;
    case 4:
      return ListKind::full;
    default:
      return ListKind::failed;
  }
}

event::Request read_request(const json& m) {
  event::Request read;
  read.id = needed_text(at(m, 1), "request id");
  read.class_name = text(at(m, 2));
  const int bits = whole(at(m, 5));
  if (at(m, 3).is_number() && (bits & 1) != 0)
    read.cost_hint = number(at(m, 3));
  read.tenant = text(at(m, 4));
  read.retry = (bits & 2) != 0;
  read.write = (bits & 4) != 0;
  read.memory_mb = number(at(m, 6));
  read.function = large(at(m, 7));
  if (at(m, 8).is_number())
    read.load_hint = millis(at(m, 8));
  read.expires_in = millis(at(m, 9));
  read.lanes = whole(at(m, 10), 1);
  return read;
}

event::AttemptEnded read_answer(const json& m) {
  event::AttemptEnded read;
  read.id = needed_text(at(m, 1), "request id");
  const int remark = whole(at(m, 2));
  read.warmth = warmth(remark);
  read.host_concurrency = remark >> 3;
  read.outcome = outcome(at(m, 3));
  read.call_ended = flag(at(m, 4));
  read.elapsed = millis(at(m, 5));
  read.attempt = whole(at(m, 6));
  read.host = text(at(m, 7));
  read.report = report(at(m, 8));
  return read;
}

event::Loaded read_loaded(const json& m) {
  return {text(at(m, 1)), large(at(m, 2)), outcome(at(m, 3)), millis(at(m, 4)), whole(at(m, 5))};
}

event::Probed read_probed(const json& m) {
  return {text(at(m, 3)), outcome(at(m, 1)), millis(at(m, 2)), report(at(m, 4))};
}

}  // namespace

void Host::handle_message(Instance& instance, Millis now, const json& message, std::vector<Action>& actions) {
  if (!message.is_array() || message.empty())
    throw WireError("a message is no array with a name");
  const std::string& name = needed_text(message[0], "message name");
  if (name == "Catalog")
    return store_page(message);
  if (name == "Init") {
    instance.live = true;
    const event::Start start{read_settings(at(message, 2), large(at(message, 1)))};
    return instance.policy.handle(now, start, actions);
  }
  if (!instance.live)
    return;
  if (const auto event = read_event(name, message))
    instance.policy.handle(now, *event, actions);
  if (name == "PowerOff")
    instance.live = false;
}

void Host::store_page(const json& message) {
  const double page = number(at(message, 1), -1);
  if (page < 0 || page >= static_cast<double>(kPageCount))
    throw WireError("no such catalog page");
  std::vector<HostEntry> entries;
  for (const auto& row : at(message, 2))
    entries.push_back(entry(row));
  pages_[static_cast<std::size_t>(page)] = std::move(entries);
}

event::EndpointListUpdate Host::read_endpoint_list(const json& message) const {
  event::EndpointListUpdate list;
  list.kind = list_kind(whole(at(message, 2)));
  const double page = number(at(message, 3), 0);
  const bool has_page = page >= 0 && page < static_cast<double>(kPageCount);
  if (list.kind != ListKind::failed && has_page)
    list.entries = pages_[static_cast<std::size_t>(page)];
  return list;
}

std::optional<Event> Host::read_event(const std::string& name, const json& message) const {
  if (name == "Discovery")
    return read_endpoint_list(message);
  static const std::map<std::string, Event (*)(const json&)> readers = {
      {"Order", [](const json& m) -> Event { return read_request(m); }},
      {"Result", [](const json& m) -> Event { return read_answer(m); }},
      {"Ring", [](const json& m) -> Event { return event::Timer{large(at(m, 1))}; }},
      {"BroughtUp", [](const json& m) -> Event { return read_loaded(m); }},
      {"Gone", [](const json& m) -> Event { return event::ClientDisconnected{text(at(m, 1))}; }},
      {"HeadReceived",
       [](const json& m) -> Event {
         return event::StreamBegan{text(at(m, 1)), whole(at(m, 2))};
       }},
      {"Sampled", [](const json& m) -> Event { return read_probed(m); }},
      {"Heard",
       [](const json& m) -> Event {
         return event::PeerMessage{whole(at(m, 1)), text(at(m, 2))};
       }},
      {"PowerOff", [](const json&) -> Event { return event::Stop{}; }}};
  const auto reader = readers.find(name);
  if (reader == readers.end())
    return std::nullopt;
  return reader->second(message);
}

namespace {

// Throws WireError where the batch lacks what every batch has.
void check_batch(const json& batch) {
  if (!batch.is_object())
    throw WireError("a batch is no object");
  if (!key(batch, "Time").is_number())
    throw WireError("a batch without Time");
  if (!key(batch, "n").is_number())
    throw WireError("a batch without n");
  if (!key(batch, "routers").is_array())
    throw WireError("a batch without routers");
}

}  // namespace

json Host::handle_inbox(const std::string& router, Millis now, const json& inbox) {
  if (!inbox.is_array())
    throw WireError("a router without inbox");
  std::vector<Action> actions;
  for (const auto& message : inbox)
    handle_message(instances_[router], now, message, actions);
  json commands = json::array();
  for (const auto& action : actions)
    commands.push_back(write_action(action));
  return commands;
}

std::string Host::reply(const std::string& line) {
  json batch;
  try {
    batch = json::parse(line);
  } catch (const json::exception&) {
    throw WireError("a line is no JSON");
  }
  check_batch(batch);
  const Millis now = millis(key(batch, "Time"));
  json groups = json::array();
  for (const auto& group : key(batch, "routers")) {
    const std::string& router = needed_text(key(group, "Router"), "Router");
    json commands = handle_inbox(router, now, key(group, "inbox"));
    if (!commands.empty())
      groups.push_back({{"Router", router}, {"cmds", std::move(commands)}});
  }
  return json{{"n", batch["n"]}, {"routers", std::move(groups)}}.dump(-1, ' ', false,
                                                                      json::error_handler_t::replace);
}

}  // namespace lotusyard::simulator_adapter
