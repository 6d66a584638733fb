#include "amqp/topology.h"

#include <algorithm>

#include "amqp/methods.h"

namespace lotusyard::amqp {
namespace {

constexpr std::uint16_t kReserved = 0;
constexpr std::uint8_t kNoFlags = 0;

// The flags of a method share one octet; the first one is the lowest bit.
std::uint8_t pack_flags(std::initializer_list<bool> flags) {
  unsigned packed = 0;
  unsigned position = 0;
  for (const bool flag : flags) {
    packed |= (flag ? 1U : 0U) << position;
    ++position;
  }
  return static_cast<std::uint8_t>(packed);
}

DeclareMethod declare_exchange(const Declaration& exchange) {
  DeclareMethod out{method::exchange_declare, method::exchange_declare_ok, {}};
  out.arguments.u16(kReserved).short_text(exchange.name).short_text(exchange.type);
  out.arguments.u8(pack_flags({exchange.passive, exchange.durable, exchange.auto_delete}));
  return out;
}

DeclareMethod declare_queue(const Declaration& queue) {
  DeclareMethod out{method::queue_declare, method::queue_declare_ok, {}};
  out.arguments.u16(kReserved).short_text(queue.name);
  out.arguments.u8(pack_flags({queue.passive, queue.durable, queue.exclusive, queue.auto_delete}));
  return out;
}

DeclareMethod bind_queue(const Declaration& binding) {
  DeclareMethod out{method::queue_bind, method::queue_bind_ok, {}};
  out.arguments.u16(kReserved);
  out.arguments.short_text(binding.queue).short_text(binding.exchange).short_text(binding.routing_key);
  out.arguments.u8(kNoFlags);
  return out;
}

DeclareMethod without_table(const Declaration& declaration) {
  switch (declaration.kind) {
    case Declaration::Kind::exchange:
      return declare_exchange(declaration);
    case Declaration::Kind::queue:
      return declare_queue(declaration);
    case Declaration::Kind::binding:
      return bind_queue(declaration);
  }
  return {};
}

}  // namespace

DeclareMethod declare_method(const Declaration& declaration) {
  DeclareMethod out = without_table(declaration);
  out.arguments.table(declaration.arguments);
  return out;
}

const Declaration* find_queue_declaration(const Topology& topology, const std::string& queue) {
  const auto creates_queue = [&](const Declaration& declaration) {
    return declaration.kind == Declaration::Kind::queue && declaration.name == queue && !declaration.passive;
  };
  const auto found = std::find_if(topology.begin(), topology.end(), creates_queue);
  return found == topology.end() ? nullptr : &*found;
}

}  // namespace lotusyard::amqp
