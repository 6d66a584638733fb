#include "config/json_read.h"
#include "config/sections.h"

namespace lotusyard::config {
namespace {

constexpr std::size_t kMaxQueueNameBytes = 255;  // a short string of AMQP

std::vector<std::string> read_brokers(const Section& amqp) {
  if (!amqp.has("brokers"))
    return {amqp.required_text("broker")};
  if (amqp.has("broker"))
    amqp.fail("brokers", "must not be set together with amqp.broker");
  const json& listed = amqp["brokers"];
  if (!listed.is_array() || listed.empty())
    amqp.fail("brokers", "at least one address is needed");
  std::vector<std::string> brokers;
  for (const auto& broker : listed)
    brokers.push_back(text(broker));
  return brokers;
}

void check_brokers(const Section& amqp, const std::vector<std::string>& brokers) {
  const std::string key = amqp.path_of(amqp.has("brokers") ? "brokers" : "broker");
  for (const auto& broker : brokers)
    check_address(key, broker);
}

std::vector<std::string> read_queues(const Section& amqp) {
  const json& listed = amqp["queues"];
  if (!listed.is_array() || listed.empty())
    amqp.fail("queues", "at least one name is needed");
  std::vector<std::string> queues;
  for (const auto& queue : listed) {
    const std::string name = text(queue);
    if (name.empty() || name.size() > kMaxQueueNameBytes)
      amqp.fail("queues", "a name has 1 to 255 bytes");
    queues.push_back(name);
  }
  return queues;
}

}  // namespace

AmqpConfig read_amqp(const Section& amqp) {
  amqp.require_object();
  AmqpConfig config;
  config.brokers = read_brokers(amqp);
  check_brokers(amqp, config.brokers);
  config.user = amqp.text("user", config.user);
  config.password = amqp.text("password", config.password);
  config.vhost = amqp.text("vhost", config.vhost);
  config.queues = read_queues(amqp);
  config.topology = read_topology(amqp.child("topology"));
  config.prefetch = amqp.whole_number("prefetch", config.prefetch, {1, 1000});
  config.heartbeat_s = amqp.whole_number("heartbeat_s", config.heartbeat_s, {0, 600});
  config.body_kb = amqp.whole_number("body_kb", config.body_kb, {1, 1024});
  config.open_calls = amqp.whole_number("open_calls", config.open_calls, {1, 10000});
  config.remembered = amqp.whole_number("remembered", config.remembered, {1, 1e6});
  config.remembered_mb = amqp.whole_number("remembered_mb", config.remembered_mb, {1, 1e4});
  config.store = amqp.text("store", "");
  config.store_days = amqp.whole_number("store_days", config.store_days, {1, 3650});
  config.store_mb = amqp.whole_number("store_mb", config.store_mb, {1, 1e5});
  config.store_records = amqp.whole_number("store_records", config.store_records, {1, 1e8});
  config.sole_consumer = amqp.flag("sole_consumer", config.sole_consumer);
  return config;
}

}  // namespace lotusyard::config
