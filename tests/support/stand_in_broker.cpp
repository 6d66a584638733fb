#include "support/stand_in_broker.h"

#include <catch2/catch.hpp>
#include <utility>

namespace lotusyard::test {
namespace {

constexpr std::size_t kMaxBodyFrame = 4000;  // less than the negotiated frame size

}  // namespace

void StandInBroker::send(const std::string& id, const std::string& call_class, const std::string& body,
                         amqp::Table more_headers) {
  Message message;
  message.properties.message_id = id;
  message.properties.correlation_id = "c-" + id;
  message.properties.reply_to = "answers";
  message.properties.headers = std::move(more_headers);
  message.properties.headers.emplace("class", call_class);
  message.properties.headers.emplace("lookup", std::string("00000000000000a1"));
  message.properties.headers.emplace("memory_mb", std::int64_t{300});
  message.properties.headers.emplace("lanes", std::int64_t{4});
  message.body = body;
  enqueue(std::move(message));
}

void StandInBroker::enqueue(Message&& message) {
  queue.push_back(std::move(message));
  for (const auto& peer : server.peers)
    deliver(*peer);
}

void StandInBroker::send_method_to_all(std::uint32_t id, const amqp::Writer& arguments) {
  for (const auto& peer : server.peers)
    peer->send_method(id, 0, arguments);
}

void StandInBroker::drop_all() {
  dropped += server.peers.size();
  for (const auto& peer : server.peers)
    peer->close_later();
}

void StandInBroker::drop(Peer& peer) {
  ++dropped;
  peer.close_later();
}

void StandInBroker::deliver(Peer& peer) {
  while (peer.consuming && peer.is_open() && !queue.empty() && peer.unacked.size() < peer.prefetch) {
    const std::size_t position = chance(chaos.reorder) ? below(random, queue.size()) : 0;
    Message message = std::move(queue[position]);
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
    write_delivery(peer, message);
    peer.unacked[peer.last_tag] = message;
    if (!chance(chaos.redeliver))
      continue;
    message.redelivered = true;  // again with a new delivery tag, as after a recovery of the broker
    write_delivery(peer, message);
  }
}

void StandInBroker::on_published(Peer& peer, const std::string& reply_queue, const Message& answer) {
  if (chance(chaos.drop / 2))
    return drop(peer);  // before the answer was received
  const std::uint64_t number = ++peer.published_messages;
  if (chance(chaos.nack))
    return peer.send_method(amqp::method::basic_nack, 1, amqp::Writer().u64(number).u8(0));
  REQUIRE(reply_queue == "answers");
  answers.push_back(answer);
  answers_by_id[answer.properties.correlation_id].push_back(answer);
  if (chance(chaos.drop / 2))
    return drop(peer);  // the answer was received, but its confirm is lost
  if (withholds_confirms)
    return;
  peer.send_method(amqp::method::basic_ack, 1, amqp::Writer().u64(number).u8(0));
  if (!chance(chaos.drop / 2))
    return;
  peer.flush_now();  // the client receives the confirm, but its ack is lost
  drop(peer);
}

void StandInBroker::write_delivery(Peer& peer, const Message& message) {
  amqp::Writer arguments;
  arguments.short_text("t").u64(++peer.last_tag).u8(message.redelivered ? 1 : 0);
  arguments.short_text("").short_text("calls");
  peer.send_method(amqp::method::basic_deliver, 1, arguments);
  const std::string header = amqp::content_header(message.body.size(), message.properties);
  peer.write(amqp::frame(amqp::FrameType::header, 1, header));
  for (std::size_t at = 0; at < message.body.size(); at += kMaxBodyFrame) {
    const auto part = std::string_view(message.body).substr(at, kMaxBodyFrame);
    peer.write(amqp::frame(amqp::FrameType::body, 1, part));
  }
}

}  // namespace lotusyard::test
