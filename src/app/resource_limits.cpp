#include "app/resource_limits.h"

#include <algorithm>

#include "resp/parser.h"

namespace lotusyard {
namespace {

using core::Millis;

// A silent connection is probed after this fraction of the shortest latency objective, so that a dead one is
// noticed in time to send the call elsewhere.
constexpr double kProbeDelayFraction = 0.8;

// An answer may always be this long, however small the share of memory is.
constexpr std::size_t kMinLongestAnswer = 256U << 10;
// One answer takes up at most 1/4 of the memory for answers.
constexpr std::size_t kMinAnswersInMemory = 4;
// One client holds at most half of the unwritten bytes, so that one that does not read leaves room for
// others.
constexpr std::size_t kMinClientsInMemory = 2;

std::size_t kilobytes(std::size_t count) { return count << 10; }
std::size_t megabytes(std::size_t count) { return count << 20; }

hosts::LivenessProbe liveness_probe(const core::Settings& settings) {
  if (settings.host_protocol.accepts_probes)
    return hosts::LivenessProbe::health;
  return settings.load_orders.allowed ? hosts::LivenessProbe::order : hosts::LivenessProbe::none;
}

// Returns 0 if no class has a latency objective.
Millis shortest_latency_objective(const core::Settings& settings) {
  Millis shortest{0};
  for (const auto& call_class : settings.classes) {
    const Millis objective = call_class.latency_objective;
    if (objective.count() <= 0)
      continue;
    shortest = shortest.count() > 0 ? std::min(shortest, objective) : objective;
  }
  return shortest;
}

// Hosts may answer with what they were sent, so an answer may be as long as any call.
std::size_t longest_answer(const config::Config& config, const hot_restart::ResourceShares& shares) {
  const std::size_t longest_delivery = config.amqp ? kilobytes(config.amqp->body_kb) : 0;
  const std::size_t longest_call = std::max(longest_delivery, resp::Parser::kMaxWordBytes);
  return std::max({shares.incoming / kMinAnswersInMemory, kMinLongestAnswer, longest_call});
}

}  // namespace

hosts::Limits host_limits(const config::Config& config, const hot_restart::ResourceShares& shares) {
  const core::Settings& settings = config.settings;
  hosts::Limits limits;
  limits.connect_timeout = settings.host_protocol.connect_timeout;
  limits.idle_timeout = config.connection_idle;
  limits.order_timeout = settings.load_orders.timeout;
  limits.max_attempts_per_connection = config.max_attempts_per_connection;
  limits.max_connections = shares.host_connections;
  limits.max_incoming_bytes = shares.incoming;
  limits.max_ended_ref_bytes = shares.ended_refs;
  limits.max_answer_bytes = longest_answer(config, shares);
  limits.report_fields = config.report_fields;
  limits.liveness = liveness_probe(settings);
  limits.late_answer_window = std::max(limits.late_answer_window, core::longest_deadline(settings));
  const Millis objective = shortest_latency_objective(settings);
  if (objective.count() > 0)
    limits.max_silence = objective * kProbeDelayFraction;
  return limits;
}

core::Settings policy_settings(core::Settings settings, const hot_restart::ResourceShares& shares) {
  settings.function_table_bytes = shares.functions;
  settings.idempotency_key_bytes = shares.idempotency_keys;
  return settings;
}

resp::FrontEnd::Limits client_limits(const hot_restart::ResourceShares& shares) {
  resp::FrontEnd::Limits limits;
  limits.clients = shares.clients;
  limits.new_connections = shares.new_connections;
  limits.body_bytes = shares.bodies;
  limits.unread_bytes = shares.unwritten / kMinClientsInMemory;
  return limits;
}

amqp::FrontEnd::Limits trigger_limits(const config::AmqpConfig& config) {
  return {config.open_calls, config.remembered, megabytes(config.remembered_mb), config.sole_consumer};
}

amqp::Broker broker_settings(const config::AmqpConfig& config) {
  amqp::Broker broker;
  broker.addresses = config.brokers;
  broker.user = config.user;
  broker.password = config.password;
  broker.vhost = config.vhost;
  broker.queues = config.queues;
  broker.topology = config.topology;
  broker.prefetch = config.prefetch;
  broker.heartbeat_s = config.heartbeat_s;
  broker.longest_body = kilobytes(config.body_kb);
  return broker;
}

}  // namespace lotusyard
