// What the operator's file wants to stand at the broker before anything is consumed, and the methods that say
// so.
#pragma once

#include <string>
#include <vector>

#include "amqp/wire.h"

namespace lotusyard::amqp {

struct Declaration {
  enum class Kind { exchange, queue, binding } kind = Kind::queue;
  std::string key;                           // in the file, for whoever reads why it was refused
  std::string name, type = "direct";         // of an exchange or a queue; type: of an exchange
  std::string queue, exchange, routing_key;  // of a binding
  bool passive = false;                      // it must stand already, as it is
  bool durable = true, exclusive = false, auto_delete = false;
  Table arguments;
};
using Topology = std::vector<Declaration>;  // in the order in which they are declared

struct Declared {
  std::uint32_t method = 0, ok = 0;  // ok: the broker's answer
  Writer arguments;
};
Declared declare(const Declaration& wanted);

// The queue's own declaration, if the file has one that makes it; a queue that was deleted is made again.
const Declaration* maker_of(const Topology& topology, const std::string& queue);

}  // namespace lotusyard::amqp
