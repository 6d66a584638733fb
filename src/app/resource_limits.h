// Translates the configuration and this process's share of its resources into the limits of each part.
#pragma once

#include "amqp/front_end.h"
#include "config/config.h"
#include "hosts/connection_pool.h"
#include "hot_restart/shares.h"
#include "resp/front_end.h"

namespace lotusyard {

// The limits on connections to hosts and on the answers received over them.
hosts::Limits host_limits(const config::Config& config, const hot_restart::ResourceShares& shares);

// The settings with the limits on the tables of the dispatcher and its policy.
core::Settings policy_settings(core::Settings settings, const hot_restart::ResourceShares& shares);

// The limits on clients.
resp::FrontEnd::Limits client_limits(const hot_restart::ResourceShares& shares);

// The limits on deliveries of the broker and on the memory of their answers.
amqp::FrontEnd::Limits trigger_limits(const config::AmqpConfig& config);

// How the broker is reached and consumed from.
amqp::Broker broker_settings(const config::AmqpConfig& config);

}  // namespace lotusyard
