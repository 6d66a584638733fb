#include "config/config.h"

#include <algorithm>
#include <fstream>
#include <random>

#include "config/json_read.h"
#include "config/settings.h"
#include "hot_restart/shares.h"
#include "net/fields.h"
#include "net/socket.h"

namespace lotusyard::config {
namespace {

[[noreturn]] void fault(const std::string& name, const std::string& what) {
  throw ConfigError("configuration: " + name + ": " + what);
}

const json& object(const json& from, const char* name) {
  const json& value = key(from, name);
  if (!value.is_object())
    fault(name, "an object is needed");
  return value;
}

double number_within(const json& from, const char* name, const std::string& path, double missing,
                     double least, double most) {
  const json& value = key(from, name);
  if (value.is_null())
    return missing;
  if (!value.is_number())
    fault(path, "a number is needed");
  const double read = number(value, least - 1);
  if (!(read >= least && read <= most)) {
    fault(path, "must lie between " + json(least).dump() + " and " + json(most).dump());
  }
  return read;
}

std::string address(const json& from, const char* name, const std::string& otherwise) {
  const json& value = key(from, name);
  if (!value.is_null() && !value.is_string())
    fault(name, "a text is needed");
  const std::string read = value.is_string() ? value.get<std::string>() : otherwise;
  if (!net::valid_address(read))
    fault(name, "no numeric address with a port: '" + read + "'");
  return read;
}

std::string needed_text(const json& from, const char* name, const std::string& path, const char* otherwise) {
  const json& value = key(from, name);
  if (value.is_null() && otherwise != nullptr)
    return otherwise;
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    fault(path, "a text is needed");
  return value.get<std::string>();
}

template <typename T>
T whole_within(const json& from, const char* name, const std::string& path, T missing, double least,
               double most) {
  return static_cast<T>(number_within(from, name, path, static_cast<double>(missing), least, most));
}

// Arguments of a declaration: numbers, texts and flags, as brokers take them.
amqp::Table read_arguments(const json& from, const std::string& path) {
  amqp::Table out;
  if (from.is_null())
    return out;
  if (!from.is_object())
    fault(path, "an object is needed");
  for (const auto& [name, value] : from.items()) {
    const std::string here = path + "." + name;
    if (name.empty() || name.size() > 128)
      fault(here, "a name has 1 to 128 bytes");
    if (value.is_boolean()) {
      out[name] = value.get<bool>();
    } else if (value.is_number_integer()) {
      out[name] = value.get<std::int64_t>();
    } else if (value.is_number()) {
      out[name] = value.get<double>();
    } else if (value.is_string()) {
      out[name] = value.get<std::string>();
    } else {
      fault(here, "a text, a number, true or false is needed");
    }
  }
  return out;
}

amqp::Topology read_topology(const json& from) {
  using Kind = amqp::Declaration::Kind;
  amqp::Topology out;
  if (from.is_null())
    return out;
  if (!from.is_object())
    fault("amqp.topology", "an object is needed");
  const auto read = [&](const char* list, Kind kind) {
    const json& rows = key(from, list);
    const std::string path = std::string("amqp.topology.") + list;
    if (rows.is_null())
      return;
    if (!rows.is_array())
      fault(path, "an array is needed");
    for (std::size_t i = 0; i < rows.size(); ++i) {
      amqp::Declaration one;
      one.kind = kind;
      one.key = path + "[" + std::to_string(i) + "]";
      const json& row = rows[i];
      const auto short_text = [&](const char* name, const char* otherwise) {
        const std::string value = needed_text(row, name, one.key + "." + name, otherwise);
        if (value.size() > 255)
          fault(one.key + "." + name, "at most 255 bytes");
        return value;
      };
      const auto yes = [&](const char* name, bool otherwise) {
        const json& value = key(row, name);
        if (!value.is_null() && !value.is_boolean())
          fault(one.key + "." + name, "true or false is needed");
        return value.is_null() ? otherwise : value.get<bool>();
      };
      if (kind == Kind::binding) {
        one.queue = short_text("queue", nullptr);
        one.exchange = short_text("exchange", nullptr);
        one.routing_key = short_text("routing_key", "");
      } else {
        one.name = short_text("name", nullptr);
        one.type = short_text("type", "direct");
        one.passive = yes("passive", false);
        one.durable = yes("durable", true);
        one.exclusive = yes("exclusive", false);
        one.auto_delete = yes("auto_delete", false);
      }
      one.arguments = read_arguments(key(row, "arguments"), one.key + ".arguments");
      out.push_back(std::move(one));
    }
  };
  read("exchanges", Kind::exchange);
  read("queues", Kind::queue);
  read("bindings", Kind::binding);
  return out;
}

AmqpConfig read_amqp(const json& from) {
  if (!from.is_object())
    fault("amqp", "an object is needed");
  AmqpConfig out;
  const json& brokers = key(from, "brokers");
  if (!brokers.is_null() && !key(from, "broker").is_null())
    fault("amqp.brokers", "not beside amqp.broker");
  if (brokers.is_null()) {
    out.brokers = {needed_text(from, "broker", "amqp.broker", nullptr)};
  } else if (!brokers.is_array() || brokers.empty()) {
    fault("amqp.brokers", "at least one address is needed");
  } else {
    for (const auto& one : brokers)
      out.brokers.push_back(text(one));
  }
  const char* const named = brokers.is_null() ? "amqp.broker" : "amqp.brokers";
  for (const auto& one : out.brokers) {
    if (!net::valid_address(one))
      fault(named, "no numeric address with a port: '" + one + "'");
  }
  out.user = needed_text(from, "user", "amqp.user", "guest");
  out.password = needed_text(from, "password", "amqp.password", "guest");
  out.vhost = needed_text(from, "vhost", "amqp.vhost", "/");
  const json& queues = key(from, "queues");
  if (!queues.is_array() || queues.empty())
    fault("amqp.queues", "at least one name is needed");
  for (const auto& queue : queues) {
    const std::string name = text(queue);
    if (name.empty() || name.size() > 255)
      fault("amqp.queues", "a name has 1 to 255 bytes");
    out.queues.push_back(name);
  }
  out.topology = read_topology(key(from, "topology"));
  out.prefetch = whole_within(from, "prefetch", "amqp.prefetch", out.prefetch, 1, 1000);
  out.heartbeat_s = whole_within(from, "heartbeat_s", "amqp.heartbeat_s", out.heartbeat_s, 0, 600);
  out.body_kb = whole_within(from, "body_kb", "amqp.body_kb", out.body_kb, 1, 1024);
  out.open_calls = whole_within(from, "open_calls", "amqp.open_calls", out.open_calls, 1, 10000);
  out.remembered = whole_within(from, "remembered", "amqp.remembered", out.remembered, 1, 1e6);
  out.remembered_mb = whole_within(from, "remembered_mb", "amqp.remembered_mb", out.remembered_mb, 1, 1e4);
  out.store = needed_text(from, "store", "amqp.store", "");
  out.store_days = whole_within(from, "store_days", "amqp.store_days", out.store_days, 1, 3650);
  out.store_mb = whole_within(from, "store_mb", "amqp.store_mb", out.store_mb, 1, 1e5);
  out.store_records = whole_within(from, "store_records", "amqp.store_records", out.store_records, 1, 1e8);
  const json& sole = key(from, "sole_consumer");
  if (!sole.is_null() && !sole.is_boolean())
    fault("amqp.sole_consumer", "true or false is needed");
  out.sole_consumer = flag(sole);
  return out;
}

XdsConfig read_xds(const json& from) {
  if (!from.is_object())
    fault("xds", "an object is needed");
  XdsConfig out;
  out.file = needed_text(from, "file", "xds.file", nullptr);
  out.cluster = needed_text(from, "cluster", "xds.cluster", nullptr);
  out.reread = Millis(number_within(from, "reread_ms", "xds.reread_ms", out.reread.count(), 10, 1500));
  return out;
}

std::uint64_t read_seed(const json& file) {
  const json& value = key(file, "seed");
  if (value.is_null() && !key(file, "amqp").is_null()) {  // an operator's file need not make one up
    std::random_device source;
    return static_cast<std::uint64_t>(source()) << 32 | source();
  }
  if (value.is_number_unsigned())
    return value.get<std::uint64_t>();
  const auto read = value.is_string() ? net::parse_hex16(value.get<std::string>()) : std::nullopt;
  if (!read)
    fault("seed", "16 hex digits are needed");
  return *read;
}

void check_settings(const json& env, const Config& config) {
  const auto& classes = key(env, "Classes");
  if (!classes.is_array() || classes.empty())
    fault("settings.Classes", "at least one class is needed");
  for (const auto& c : config.settings.classes) {
    const std::string path = "settings.Classes[" + c.name + "]";
    if (c.name.empty() || c.name.find_first_of(" ,=\r\n") != std::string::npos) {
      fault("settings.Classes[].Name", "a word without blanks, commas and equals signs is needed");
    }
    if (!(c.deadline.count() > 0))
      fault(path + ".HardLimit", "must be a number above 0");
    const auto same = [&](const policy::ClassSettings& other) { return other.name == c.name; };
    const auto& all = config.settings.classes;
    if (std::count_if(all.begin(), all.end(), same) > 1)
      fault(path, "stands twice");
  }
}

}  // namespace

nlohmann::json read_json_file(const std::string& path) {
  std::ifstream in(path);
  if (!in)
    fault(path, "cannot be read");
  auto read = json::parse(in, nullptr, false);
  if (!read.is_object())
    fault(path, "holds no JSON object");
  return read;
}

Config read_config(const json& file, const Environment& environment) {
  Config out;
  out.name = key(file, "name").is_string() ? text(key(file, "name")) : environment.name;
  if (!key(file, "amqp").is_null())
    out.amqp = read_amqp(key(file, "amqp"));
  if (!key(file, "xds").is_null())
    out.xds = read_xds(key(file, "xds"));
  const bool listens = !out.amqp || !key(file, "listen").is_null();
  if (listens)
    out.listen = address(file, "listen", environment.listen);
  if (!environment.listen_fd.empty()) {
    const auto fd = net::parse_whole(environment.listen_fd, 1000000);
    if (!fd)
      fault("BALANCER_LISTEN_FD", "no descriptor's number: '" + environment.listen_fd + "'");
    out.listen_fd = static_cast<int>(*fd);
  }
  const bool has_console = !key(file, "console").is_null() || !environment.console.empty();
  if (has_console)
    out.console = address(file, "console", environment.console);
  if (!out.xds)
    out.changelog = address(file, "changelog", "");
  out.seed = read_seed(file);
  const json& limits = key(file, "limits");
  if (!limits.is_null() && !limits.is_object())
    fault("limits", "an object is needed");
  out.memory_mb = static_cast<std::size_t>(
      number_within(limits, "memory_mb", "limits.memory_mb", 192, hot_restart::least_memory_mb, 1e6));
  out.sockets = static_cast<std::size_t>(
      number_within(limits, "sockets", "limits.sockets", 1024, hot_restart::least_sockets, 1e6));
  const json& known = key(file, "known");
  if (!known.is_null()) {
    if (!key(known, "seq").is_number_unsigned())
      fault("known.seq", "a whole number is needed");
    if (!key(known, "results").is_array())
      fault("known.results", "an array is needed");
    out.known_seq = large(key(known, "seq"));
    out.known_events = key(known, "results");
  }
  const json& env = object(file, "settings");
  const json& bounds = key(env, "Bounds");
  number_within(bounds, "SendCap", "settings.Bounds.SendCap", 1, 1, 1000);
  out.connection_idle = Millis(number_within(bounds, "ConnIdle", "settings.Bounds.ConnIdle", 15000, 1, 1e9));
  out.attempts_a_link = static_cast<std::size_t>(
      number_within(bounds, "StreamsPerConn", "settings.Bounds.StreamsPerConn", 32, 1, 1e6));
  out.settings = read_settings(env, out.seed);
  if (!(out.settings.host_protocol.connect_timeout.count() > 0))
    out.settings.host_protocol.connect_timeout = Millis(250);
  if (!(out.settings.load_orders.timeout.count() > 0))
    out.settings.load_orders.timeout = Millis(10000);
  for (const auto& field : key(key(env, "LoadInfo"), "Fields"))
    out.report_fields.push_back(text(field));
  check_settings(env, out);
  return out;
}

}  // namespace lotusyard::config
