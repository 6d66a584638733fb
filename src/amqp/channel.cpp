#include "amqp/channel.h"

#include <algorithm>
#include <utility>

#include "amqp/methods.h"
#include "amqp/reply_code.h"
#include "metrics/amqp_counters.h"

namespace lotusyard::amqp {
namespace {

// A broker that does not finish the handshake in this time is disconnected.
constexpr net::Millis kSetupTimeout{10000};
constexpr std::uint8_t kNoFlags = 0;

bool read_flag(Reader& arguments) { return (arguments.u8() & 1) != 0; }

}  // namespace

Channel::Channel(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters,
                 const Broker& broker, ChannelHandler& handler, net::Socket socket)
    : BufferedConnection(loop, pool, std::move(socket), true),
      counters_(counters),
      handler_(handler),
      heartbeat_(loop, sender_, [this] { abort(ProtocolError::silent); }),
      consumers_(broker, sender_),
      setup_(broker, sender_, parser_, heartbeat_, consumers_),
      content_(broker.longest_body) {
  setup_timer_ =
      loop.schedule_at(loop.now() + kSetupTimeout, [this] { abort(ProtocolError::setup_timeout); });
}

Channel::~Channel() { loop().cancel(setup_timer_); }

bool Channel::abort(ProtocolError error) {
  counters_.add(counter_of(error));
  close_later();
  return false;
}

void Channel::on_closed() {
  heartbeat_.stop();
  loop().cancel(setup_timer_);
  close_reason_.came_up = up_since_.has_value();
  close_reason_.up_for = up_since_ ? loop().now() - *up_since_ : net::Millis(0);
  close_reason_.at_login = setup_.is_logging_in();
  handler_.on_channel_closed(close_reason_);
}

void Channel::on_received(std::string_view bytes) {
  heartbeat_.on_received();
  std::vector<Frame> frames;
  const bool well_formed = parser_.parse(bytes, frames);
  for (const Frame& frame : frames) {
    if (!handle_frame(frame))
      return;
  }
  if (!well_formed)
    abort(ProtocolError::malformed);
}

bool Channel::handle_frame(const Frame& frame) {
  if (frame.type == FrameType::heartbeat)
    return true;
  if (frame.channel != kConnectionChannel && frame.channel != kMessageChannel)
    return abort(ProtocolError::unknown_channel);
  return frame.type == FrameType::method ? handle_method(frame) : handle_content(frame);
}

bool Channel::handle_content(const Frame& frame) {
  ContentResult result = content_.add(frame);
  if (result.error)
    return abort(*result.error);
  if (result.delivery) {
    counters_.add(metrics::kAmqpDeliveries);
    handler_.on_delivery(std::move(*result.delivery));
  }
  return true;
}

bool Channel::handle_method(const Frame& frame) {
  if (content_.in_progress())
    return abort(ProtocolError::content_interrupted);
  Reader arguments(frame.payload);
  const std::uint32_t method_class = arguments.u16();
  const std::uint32_t method = method::id(method_class, arguments.u16());
  if (is_close_method(method)) {
    handle_close(method, arguments);
    return false;
  }
  if (const auto error = dispatch(method, arguments))
    return abort(*error);
  return arguments.ok() ? true : abort(ProtocolError::malformed);
}

std::optional<ProtocolError> Channel::dispatch(std::uint32_t method, Reader& arguments) {
  if (ChannelSetup::is_setup_method(method))
    return handle_setup(method, arguments);
  const TrafficHandler* const traffic = find_traffic_handler(method);
  if (traffic == nullptr)
    return ProtocolError::unknown_method;
  (this->*traffic->handle)(arguments);
  return std::nullopt;
}

std::optional<ProtocolError> Channel::handle_setup(std::uint32_t method, Reader& arguments) {
  const bool was_complete = setup_.is_complete();
  const auto error = setup_.handle(method, arguments);
  if (!was_complete && setup_.is_complete()) {
    up_since_ = loop().now();
    loop().cancel(setup_timer_);
    handler_.on_channel_open();
  }
  return error;
}

const Channel::TrafficHandler* Channel::find_traffic_handler(std::uint32_t method) {
  static constexpr TrafficHandler kHandlers[] = {{method::basic_deliver, &Channel::handle_deliver},
                                                 {method::basic_return, &Channel::handle_return},
                                                 {method::basic_ack, &Channel::handle_ack},
                                                 {method::basic_nack, &Channel::handle_nack},
                                                 {method::basic_cancel, &Channel::handle_cancel},
                                                 {method::basic_cancel_ok, &Channel::handle_cancel_ok},
                                                 {method::channel_flow, &Channel::handle_flow},
                                                 {method::connection_blocked, &Channel::handle_blocked},
                                                 {method::connection_unblocked, &Channel::handle_unblocked}};
  const auto* const found =
      std::find_if(std::begin(kHandlers), std::end(kHandlers),
                   [&](const TrafficHandler& handler) { return handler.method == method; });
  return found == std::end(kHandlers) ? nullptr : found;
}

void Channel::handle_deliver(Reader& arguments) {
  arguments.short_text();  // the consumer's tag
  const std::uint64_t delivery_tag = arguments.u64();
  content_.begin_delivery(delivery_tag, read_flag(arguments));
}

// The reply queue does not exist any more. The broker confirms the message all the same.
void Channel::handle_return(Reader&) {
  counters_.add(metrics::kAmqpAnswersReturned);
  content_.begin_returned_message();
}

void Channel::handle_ack(Reader& arguments) { handle_confirmation(ConfirmKind::ack, arguments); }

void Channel::handle_nack(Reader& arguments) { handle_confirmation(ConfirmKind::nack, arguments); }

void Channel::handle_confirmation(ConfirmKind kind, Reader& arguments) {
  const std::uint64_t number = arguments.u64();
  handler_.on_confirmation({kind, number, read_flag(arguments)});
}

void Channel::handle_cancel(Reader& arguments) {
  counters_.add(metrics::kAmqpConsumerCancelled);
  consumers_.restart(arguments.short_text());
}

void Channel::handle_flow(Reader& arguments) {
  flow_active_ = read_flag(arguments);
  sender_.send(method::channel_flow_ok, kMessageChannel, Writer().u8(flow_active_ ? 1 : 0));
  if (flow_active_ && setup_.is_complete())
    handler_.on_channel_open();
}

void Channel::handle_blocked(Reader&) {
  counters_.add(metrics::kAmqpBlocked);
  blocked_ = true;
}

void Channel::handle_unblocked(Reader&) {
  if (std::exchange(blocked_, false) && setup_.is_complete())
    handler_.on_channel_open();
}

bool Channel::is_close_method(std::uint32_t method) {
  return method == method::channel_close || method == method::connection_close ||
         method == method::connection_close_ok;
}

void Channel::handle_close(std::uint32_t method, Reader& arguments) {
  if (method == method::connection_close_ok)
    return close_later();
  if (method == method::channel_close) {
    sender_.send(method::channel_close_ok, kMessageChannel, Writer());
    return close_for_broker(arguments, metrics::kAmqpChannelClosed);
  }
  sender_.send(method::connection_close_ok, kConnectionChannel, Writer());
  close_for_broker(arguments, metrics::kAmqpConnectionClosed);
}

void Channel::close_for_broker(Reader& arguments, const metrics::Counter& counter) {
  close_reason_.code = arguments.u16();
  counters_.add(metrics::kAmqpClosed, reply_code_name(close_reason_.code));
  if (const std::string* key = setup_.pending_declaration_key())
    close_reason_.declaration_key = *key;
  flush_now();
  counters_.add(counter);
  close_later();
}

std::uint64_t Channel::publish(const std::string& queue, const Properties& properties,
                               std::string_view body) {
  sender_.publish(queue, properties, body);
  counters_.add(metrics::kAmqpPublished);
  return ++published_;
}

void Channel::acknowledge(std::uint64_t delivery_tag) {
  counters_.add(metrics::kAmqpAcked);
  sender_.send(method::basic_ack, kMessageChannel, Writer().u64(delivery_tag).u8(kNoFlags));
}

void Channel::reject(std::uint64_t delivery_tag) {
  counters_.add(metrics::kAmqpRejected);
  sender_.send(method::basic_reject, kMessageChannel, Writer().u64(delivery_tag).u8(kNoFlags));
}

void Channel::stop_consuming() {
  if (is_up())
    consumers_.cancel_all();
}

void Channel::close() {
  if (!is_up())
    return close_later();
  setup_.close();
  const std::uint16_t no_method = 0;  // the close is not caused by a method of the broker
  sender_.send(method::connection_close, kConnectionChannel,
               Writer().u16(kReplySuccess).short_text("goodbye").u16(no_method).u16(no_method));
}

}  // namespace lotusyard::amqp
