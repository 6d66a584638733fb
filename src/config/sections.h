// The readers of the sections of the configuration file. Each throws a ConfigError for the first faulty key.
#pragma once

#include <nlohmann/json.hpp>

#include "amqp/topology.h"
#include "config/config.h"
#include "config/section.h"

namespace lotusyard::config {

// `amqp`: the broker and the queues that trigger calls.
AmqpConfig read_amqp(const Section& amqp);

// `amqp.topology`: what is declared at the broker; may be absent.
amqp::Topology read_topology(const Section& topology);

// `xds`: the file with the endpoint list.
XdsConfig read_xds(const Section& xds);

// `limits`: memory and sockets; may be absent.
void read_limits(const Section& limits, Config& config);

// `known`: the discovery events up to the start; may be absent.
void read_known_events(const Section& known, Config& config);

// `settings`: the rules of the platform, and the classes of calls.
void read_platform_settings(const Section& settings, Config& config);

}  // namespace lotusyard::config
