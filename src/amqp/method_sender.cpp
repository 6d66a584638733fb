#include "amqp/method_sender.h"

#include "amqp/methods.h"

namespace lotusyard::amqp {
namespace {

constexpr std::string_view kProtocolHeader("AMQP\0\0\x09\x01", 8);
constexpr std::uint16_t kReserved = 0;
constexpr std::string_view kDefaultExchange;
// A message that no queue takes is returned, and thereby counted.
constexpr std::uint8_t kMandatory = 1;

}  // namespace

void MethodSender::send_protocol_header() { connection_.write(kProtocolHeader); }

void MethodSender::send(std::uint32_t method, std::uint16_t channel, const Writer& arguments) {
  Writer header;
  header.u16(method >> 16).u16(method & 0xFFFF);
  connection_.write(frame(FrameType::method, channel, header.bytes() + arguments.bytes()));
}

void MethodSender::send_heartbeat() {
  connection_.write(frame(FrameType::heartbeat, kConnectionChannel, {}));
}

void MethodSender::publish(const std::string& queue, const Properties& properties, std::string_view body) {
  Writer arguments;
  arguments.u16(kReserved).short_text(kDefaultExchange).short_text(queue).u8(kMandatory);
  send(method::basic_publish, kMessageChannel, arguments);
  const std::string header = content_header(body.size(), properties);
  connection_.write(frame(FrameType::header, kMessageChannel, header));
  const std::size_t max_payload = max_frame_size_ - kFrameOverhead;
  for (std::size_t offset = 0; offset < body.size(); offset += max_payload)
    connection_.write(frame(FrameType::body, kMessageChannel, body.substr(offset, max_payload)));
}

}  // namespace lotusyard::amqp
