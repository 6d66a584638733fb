// What the configuration allows each part, in that part's own terms.
#pragma once

#include "amqp/front.h"
#include "config/config.h"
#include "hosts/fleet.h"
#include "takeover/shares.h"

namespace lotusyard {

hosts::Limits host_limits(const config::Config& config, const takeover::Shares& shares);
amqp::Broker broker_of(const config::AmqpConfig& from);

}  // namespace lotusyard
