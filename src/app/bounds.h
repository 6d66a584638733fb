// What the configuration allows each part, in that part's own terms.
#pragma once

#include "amqp/front_end.h"
#include "config/config.h"
#include "hosts/connection_pool.h"
#include "hot_restart/shares.h"

namespace lotusyard {

hosts::Limits host_limits(const config::Config& config, const hot_restart::ResourceShares& shares);
amqp::Broker broker_of(const config::AmqpConfig& from);

}  // namespace lotusyard
