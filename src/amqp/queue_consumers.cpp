#include "amqp/queue_consumers.h"

#include "amqp/methods.h"

namespace lotusyard::amqp {
namespace {

constexpr std::uint16_t kReserved = 0;
constexpr std::uint8_t kNoFlags = 0;

std::string consumer_tag_of(std::size_t queue) { return "lotusyard-" + std::to_string(queue); }

}  // namespace

void QueueConsumers::start_all() {
  for (std::size_t queue = 0; queue < broker_.queues.size(); ++queue)
    start(queue);
}

void QueueConsumers::start(std::size_t queue) {
  Writer arguments;
  arguments.u16(kReserved).short_text(broker_.queues[queue]).short_text(consumer_tag_of(queue));
  arguments.u8(kNoFlags).table({});
  sender_.send(method::basic_consume, kMessageChannel, arguments);
}

// If the queue cannot be consumed again the broker closes the channel, and ReconnectPolicy decides when to
// connect again; the other queues are served until then.
void QueueConsumers::restart(const std::string& consumer_tag) {
  for (std::size_t queue = 0; queue < broker_.queues.size(); ++queue) {
    if (consumer_tag_of(queue) != consumer_tag)
      continue;
    if (const auto* declaration = find_queue_declaration(broker_.topology, broker_.queues[queue])) {
      const DeclareMethod declare = declare_method(*declaration);
      sender_.send(declare.method, kMessageChannel, declare.arguments);
    }
    start(queue);
  }
}

void QueueConsumers::cancel_all() {
  for (std::size_t queue = 0; queue < broker_.queues.size(); ++queue) {
    Writer arguments;
    arguments.short_text(consumer_tag_of(queue)).u8(kNoFlags);
    sender_.send(method::basic_cancel, kMessageChannel, arguments);
  }
}

}  // namespace lotusyard::amqp
