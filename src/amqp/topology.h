// The exchanges, queues and bindings of the configuration, which are declared at the broker before anything
// is consumed, and the AMQP methods that declare them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amqp/field_table.h"
#include "amqp/writer.h"

namespace lotusyard::amqp {

// One declaration of the configuration. The fields that do not apply to its kind are ignored.
struct Declaration {
  enum class Kind { exchange, queue, binding };

  Kind kind = Kind::queue;
  std::string key;                           // in the configuration; named in the log if it is refused
  std::string name;                          // of an exchange or a queue
  std::string type = "direct";               // of an exchange
  std::string queue, exchange, routing_key;  // of a binding
  bool passive = false;                      // only checks that it exists
  bool durable = true;
  bool exclusive = false;
  bool auto_delete = false;
  Table arguments;
};
using Topology = std::vector<Declaration>;  // in the order in which they are declared

// A method that declares something, and the method by which the broker confirms it.
struct DeclareMethod {
  std::uint32_t method = 0;
  std::uint32_t ok_method = 0;
  Writer arguments;
};
DeclareMethod declare_method(const Declaration& declaration);

// Returns the declaration that creates the queue, or null if there is none.
const Declaration* find_queue_declaration(const Topology& topology, const std::string& queue);

}  // namespace lotusyard::amqp
