#include <utility>

#include "config/json_read.h"
#include "config/sections.h"

namespace lotusyard::config {
namespace {

using Kind = amqp::Declaration::Kind;

constexpr std::size_t kMaxShortTextBytes = 255;  // a short string of AMQP
constexpr std::size_t kMaxArgumentNameBytes = 128;

// A text that fits into a short string of AMQP.
std::string limited(const Section& row, const char* name, std::string text) {
  if (text.size() > kMaxShortTextBytes)
    row.fail(name, "at most 255 bytes");
  return text;
}

std::string required_short_text(const Section& row, const char* name) {
  return limited(row, name, row.required_text(name));
}

std::string short_text(const Section& row, const char* name, const std::string& fallback) {
  return limited(row, name, row.text(name, fallback));
}

// Brokers take numbers, texts and flags as arguments.
void add_argument(amqp::Table& arguments, const Section& section, const std::string& name,
                  const json& value) {
  if (name.empty() || name.size() > kMaxArgumentNameBytes)
    section.fail(name, "a name has 1 to 128 bytes");
  if (value.is_boolean())
    arguments[name] = value.get<bool>();
  else if (value.is_number_integer())
    arguments[name] = value.get<std::int64_t>();
  else if (value.is_number())
    arguments[name] = value.get<double>();
  else if (value.is_string())
    arguments[name] = value.get<std::string>();
  else
    section.fail(name, "a text, a number, true or false is needed");
}

amqp::Table read_arguments(const Section& section) {
  section.require_object_or_null();
  amqp::Table arguments;
  for (const auto& [name, value] : section.value().items())
    add_argument(arguments, section, name, value);
  return arguments;
}

amqp::Declaration read_declaration(const Section& row, Kind kind) {
  amqp::Declaration declaration;
  declaration.kind = kind;
  declaration.key = row.path();
  if (kind == Kind::binding) {
    declaration.queue = required_short_text(row, "queue");
    declaration.exchange = required_short_text(row, "exchange");
    declaration.routing_key = short_text(row, "routing_key", "");
  } else {
    declaration.name = required_short_text(row, "name");
    declaration.type = short_text(row, "type", "direct");
    declaration.passive = row.flag("passive", false);
    declaration.durable = row.flag("durable", true);
    declaration.exclusive = row.flag("exclusive", false);
    declaration.auto_delete = row.flag("auto_delete", false);
  }
  declaration.arguments = read_arguments(row.child("arguments"));
  return declaration;
}

void add_declarations(amqp::Topology& topology, const Section& section, const char* list, Kind kind) {
  const json& rows = section[list];
  if (rows.is_null())
    return;
  if (!rows.is_array())
    section.fail(list, "an array is needed");
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const Section row(rows[i], section.path_of(list) + "[" + std::to_string(i) + "]");
    topology.push_back(read_declaration(row, kind));
  }
}

}  // namespace

amqp::Topology read_topology(const Section& topology) {
  topology.require_object_or_null();
  amqp::Topology declarations;
  add_declarations(declarations, topology, "exchanges", Kind::exchange);
  add_declarations(declarations, topology, "queues", Kind::queue);
  add_declarations(declarations, topology, "bindings", Kind::binding);
  return declarations;
}

}  // namespace lotusyard::config
