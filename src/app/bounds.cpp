#include "app/bounds.h"

#include <algorithm>

#include "resp/parser.h"

namespace lotusyard {
namespace {

using core::Millis;

constexpr double kQuietAim =
    0.8;  // a silent connection is asked by a liveness probe in time for the shortest aim

}  // namespace

hosts::Limits host_limits(const config::Config& config, const hot_restart::ResourceShares& shares) {
  hosts::Limits out;
  out.connect_timeout = config.settings.host_protocol.connect_timeout;
  out.idle = config.connection_idle;
  out.order_timeout = config.settings.load_orders.timeout;
  out.attempts_a_link = config.attempts_a_link;
  out.links = shares.links;
  out.incoming = shares.incoming;
  const std::size_t longest_call =
      std::max(config.amqp ? config.amqp->body_kb << 10 : 0, resp::Parser::longest_word);
  out.longest_answer = std::max({shares.incoming / 4, std::size_t{256} << 10, longest_call});
  out.report_fields = config.report_fields;
  const auto& settings = config.settings;
  out.liveness = settings.host_protocol.accepts_probes ? hosts::LivenessProbe::health
                 : settings.load_orders.allowed        ? hosts::LivenessProbe::order
                                                       : hosts::LivenessProbe::none;
  Millis latency_objective{0};
  for (const auto& c : settings.classes) {
    if (c.latency_objective.count() > 0)
      latency_objective = latency_objective.count() > 0 ? std::min(latency_objective, c.latency_objective)
                                                        : c.latency_objective;
  }
  out.past_kept = std::max(out.past_kept, core::longest_deadline(settings));
  if (latency_objective.count() > 0)
    out.quiet = latency_objective * kQuietAim;
  return out;
}

amqp::Broker broker_of(const config::AmqpConfig& from) {
  amqp::Broker out;
  out.addresses = from.brokers;
  out.user = from.user;
  out.password = from.password;
  out.vhost = from.vhost;
  out.queues = from.queues;
  out.topology = from.topology;
  out.prefetch = from.prefetch;
  out.heartbeat_s = from.heartbeat_s;
  out.longest_body = from.body_kb << 10;
  return out;
}

}  // namespace lotusyard
