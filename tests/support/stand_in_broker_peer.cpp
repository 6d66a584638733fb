// The AMQP methods that the stand-in broker handles.
#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "support/stand_in_broker.h"

namespace lotusyard::test {
namespace {

namespace method = amqp::method;
using amqp::Frame;
using amqp::FrameType;
using amqp::Reader;
using amqp::Writer;

constexpr std::size_t kProtocolHeaderSize = 8;
constexpr std::uint64_t kNotFound = 404;
constexpr std::uint64_t kPreconditionFailed = 406;

}  // namespace

void StandInBroker::Peer::send_method(std::uint32_t id, std::uint16_t channel, const Writer& arguments) {
  const std::string method_id = Writer().u16(id >> 16).u16(id & 0xFFFF).bytes();
  write(amqp::frame(FrameType::method, channel, method_id + arguments.bytes()));
}

void StandInBroker::Peer::on_received(std::string_view bytes) {
  receive_protocol_header(bytes);
  std::vector<Frame> frames;
  REQUIRE(parser_.parse(bytes, frames));
  for (const auto& frame : frames)
    handle(frame);
}

void StandInBroker::Peer::receive_protocol_header(std::string_view& bytes) {
  const std::size_t size = std::min(kProtocolHeaderSize - protocol_header_.size(), bytes.size());
  if (size == 0)
    return;
  protocol_header_.append(bytes.substr(0, size));
  bytes.remove_prefix(size);
  if (protocol_header_.size() < kProtocolHeaderSize)
    return;
  REQUIRE(protocol_header_ == std::string("AMQP\0\0\x09\x01", kProtocolHeaderSize));
  send_method(method::connection_start, 0,
              Writer().u8(0).u8(9).table({}).long_text("PLAIN").long_text("en_US"));
}

void StandInBroker::Peer::handle(const Frame& frame) {
  switch (frame.type) {
    case FrameType::heartbeat:
      return;
    case FrameType::header:
      return handle_content_header(frame);
    case FrameType::body:
      return handle_content_body(frame);
    default:
      return handle_method(frame);
  }
}

void StandInBroker::Peer::handle_content_header(const Frame& frame) {
  auto header = amqp::read_content_header(frame.payload);
  REQUIRE(header);
  missing_body_bytes_ = header->first;
  published_message_ = {std::move(header->second), {}, false};
  finish_message_if_complete();
}

void StandInBroker::Peer::handle_content_body(const Frame& frame) {
  published_message_.body += frame.payload;
  missing_body_bytes_ -= frame.payload.size();
  finish_message_if_complete();
}

void StandInBroker::Peer::finish_message_if_complete() {
  if (missing_body_bytes_ == 0)
    broker_.on_published(*this, reply_queue_, published_message_);
}

void StandInBroker::Peer::handle_method(const Frame& frame) {
  Reader arguments(frame.payload);
  const std::uint32_t method_class = arguments.u16();
  const std::uint32_t id = method::id(method_class, arguments.u16());
  if (!handle_connection_method(id) && !handle_channel_method(id, arguments))
    handle_basic_method(id, arguments);
}

bool StandInBroker::Peer::handle_connection_method(std::uint32_t id) {
  switch (id) {
    case method::connection_start_ok:
      send_method(method::connection_tune, 0, Writer().u16(10).u32(4096).u16(broker_.heartbeat_s));
      return true;
    case method::connection_open:
      open_connection();
      return true;
    case method::connection_close:
      send_method(method::connection_close_ok, 0, Writer());
      return true;
    default:
      return false;
  }
}

bool StandInBroker::Peer::handle_channel_method(std::uint32_t id, Reader& arguments) {
  switch (id) {
    case method::channel_open:
      send_method(method::channel_open_ok, 1, Writer().long_text(""));
      return true;
    case method::confirm_select:
      send_method(method::confirm_select_ok, 1, Writer());
      return true;
    case method::exchange_declare:
      send_method(method::exchange_declare_ok, 1, Writer());
      return true;
    case method::queue_bind:
      ++broker_.bindings;
      send_method(method::queue_bind_ok, 1, Writer());
      return true;
    case method::queue_declare:
      declare_queue(arguments);
      return true;
    default:
      return false;
  }
}

void StandInBroker::Peer::handle_basic_method(std::uint32_t id, Reader& arguments) {
  switch (id) {
    case method::basic_qos:
      arguments.u32();
      prefetch = arguments.u16();
      return send_method(method::basic_qos_ok, 1, Writer());
    case method::basic_consume:
      return consume(arguments);
    case method::basic_cancel:
      consuming = false;
      return send_method(method::basic_cancel_ok, 1, Writer().short_text(arguments.short_text()));
    case method::basic_publish:
      arguments.u16();
      arguments.short_text();
      reply_queue_ = arguments.short_text();
      return;
    case method::basic_ack:
      if (unacked.erase(arguments.u64()) == 1)
        ++broker_.acked;
      return broker_.deliver(*this);
    case method::basic_reject:
      if (unacked.erase(arguments.u64()) == 1)
        ++broker_.rejected;
      return broker_.deliver(*this);
    default:
      return;
  }
}

void StandInBroker::Peer::open_connection() {
  if (broker_.close_code == 0)
    return send_method(method::connection_open_ok, 0, Writer().short_text(""));
  ++broker_.closes;
  send_method(method::connection_close, 0,
              Writer().u16(broker_.close_code).short_text("as told").u16(0).u16(0));
}

// An existing queue keeps its arguments; a passive declaration only checks that the queue exists.
void StandInBroker::Peer::declare_queue(Reader& arguments) {
  arguments.u16();
  const std::string name = arguments.short_text();
  const bool is_passive = (arguments.u8() & 1) != 0;
  const amqp::Table wanted = arguments.table();
  const auto known = broker_.queues.find(name);
  const bool exists = known != broker_.queues.end();
  std::uint64_t error = 0;
  if (!exists && is_passive)
    error = kNotFound;
  if (exists && !is_passive && known->second != wanted)
    error = kPreconditionFailed;
  if (error != 0)
    return send_method(method::channel_close, 1, Writer().u16(error).short_text("as told").u16(50).u16(10));
  broker_.queues.emplace(name, wanted);
  send_method(method::queue_declare_ok, 1, Writer().short_text(name).u32(0).u32(0));
}

void StandInBroker::Peer::consume(Reader& arguments) {
  arguments.u16();
  arguments.short_text();
  const std::string consumer_tag = arguments.short_text();
  if (broker_.missing_queues > 0) {
    --broker_.missing_queues;
    return send_method(method::channel_close, 1,
                       Writer().u16(kNotFound).short_text("NOT_FOUND").u16(60).u16(20));
  }
  send_method(method::basic_consume_ok, 1, Writer().short_text(consumer_tag));
  consuming = true;
  broker_.deliver(*this);
}

void StandInBroker::Peer::on_closed() {
  for (auto& [tag, message] : unacked) {
    message.redelivered = true;
    broker_.queue.push_back(std::move(message));
  }
  if (broker_.chance(broker_.chaos.reorder))
    std::shuffle(broker_.queue.begin(), broker_.queue.end(), broker_.random);
  broker_.server.remove(*this);
}

}  // namespace lotusyard::test
