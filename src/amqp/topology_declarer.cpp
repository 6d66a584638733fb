#include "amqp/topology_declarer.h"

namespace lotusyard::amqp {

void TopologyDeclarer::send_next() {
  const DeclareMethod next = declare_method(topology_[confirmed_]);
  sender_.send(next.method, kMessageChannel, next.arguments);
}

bool TopologyDeclarer::confirm(std::uint32_t method) {
  if (method != declare_method(topology_[confirmed_]).ok_method)
    return false;
  ++confirmed_;
  return true;
}

}  // namespace lotusyard::amqp
