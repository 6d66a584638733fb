// The configuration of the brokers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "amqp/topology.h"

namespace lotusyard::amqp {

struct Broker {
  std::vector<std::string> addresses;  // host:port, tried in this order
  std::string user = "guest", password = "guest", vhost = "/";
  std::vector<std::string> queues;       // that are consumed
  Topology topology;                     // declared before the queues are consumed
  std::uint16_t prefetch = 32;           // deliveries that the broker sends ahead of their acknowledgements
  std::uint16_t heartbeat_s = 10;        // seconds; 0: as the broker proposes
  std::size_t longest_body = 16 * 1024;  // bytes; a larger body is skipped
};

}  // namespace lotusyard::amqp
