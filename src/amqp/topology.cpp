#include "amqp/topology.h"

#include <algorithm>

#include "amqp/methods.h"

namespace lotusyard::amqp {

Declared declare(const Declaration& wanted) {
  Declared out;
  const auto bit = [](bool on, int place) { return on ? 1U << place : 0U; };
  switch (wanted.kind) {
    case Declaration::Kind::exchange:
      out.method = method::exchange_declare;
      out.ok = method::exchange_declare_ok;
      out.arguments.u16(0).short_text(wanted.name).short_text(wanted.type);
      out.arguments.u8(bit(wanted.passive, 0) | bit(wanted.durable, 1) | bit(wanted.auto_delete, 2));
      break;
    case Declaration::Kind::queue:
      out.method = method::queue_declare;
      out.ok = method::queue_declare_ok;
      out.arguments.u16(0).short_text(wanted.name);
      out.arguments.u8(bit(wanted.passive, 0) | bit(wanted.durable, 1) | bit(wanted.exclusive, 2) |
                       bit(wanted.auto_delete, 3));
      break;
    case Declaration::Kind::binding:
      out.method = method::queue_bind;
      out.ok = method::queue_bind_ok;
      out.arguments.u16(0)
          .short_text(wanted.queue)
          .short_text(wanted.exchange)
          .short_text(wanted.routing_key);
      out.arguments.u8(0);
      break;
  }
  out.arguments.table(wanted.arguments);
  return out;
}

const Declaration* maker_of(const Topology& topology, const std::string& queue) {
  const auto found = std::find_if(topology.begin(), topology.end(), [&](const Declaration& one) {
    return one.kind == Declaration::Kind::queue && one.name == queue && !one.passive;
  });
  return found == topology.end() ? nullptr : &*found;
}

}  // namespace lotusyard::amqp
