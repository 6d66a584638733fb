#include "amqp/channel_setup.h"

#include <algorithm>
#include <string>

#include "amqp/methods.h"

namespace lotusyard::amqp {
namespace {

constexpr char kMechanism[] = "PLAIN";
constexpr std::uint32_t kAnyPrefetchSize = 0;
constexpr std::uint8_t kNoFlags = 0;

bool is_declare_ok(std::uint32_t method) {
  return method == method::exchange_declare_ok || method == method::queue_declare_ok ||
         method == method::queue_bind_ok;
}

// Without these capabilities a broker reports neither that it blocks publishers nor why a login is refused.
// They are a table within a table, which Table cannot hold.
std::string client_properties() {
  const Table capabilities = {
      {"connection.blocked", true}, {"authentication_failure_close", true}, {"publisher_confirms", true}};
  Writer properties;
  properties.short_text("product").u8('S').long_text("lotusyard");
  properties.short_text("capabilities").u8('F').table(capabilities);
  return properties.bytes();
}

std::string plain_credentials(const Broker& broker) {
  constexpr char kSeparator = '\0';
  return kSeparator + broker.user + kSeparator + broker.password;
}

}  // namespace

const ChannelSetup::Step* ChannelSetup::find_step(std::uint32_t method) {
  static constexpr Step kSteps[] = {
      {method::connection_start, State::awaiting_start, State::awaiting_tune, &ChannelSetup::log_in},
      {method::connection_tune, State::awaiting_tune, State::awaiting_open, &ChannelSetup::tune},
      {method::connection_open_ok, State::awaiting_open, State::awaiting_channel,
       &ChannelSetup::open_channel},
      {method::channel_open_ok, State::awaiting_channel, State::awaiting_confirm_mode,
       &ChannelSetup::select_confirms},
      {method::confirm_select_ok, State::awaiting_confirm_mode, State::awaiting_qos,
       &ChannelSetup::set_prefetch},
      {method::basic_qos_ok, State::awaiting_qos, State::declaring_topology, &ChannelSetup::begin_topology}};
  const auto* const found = std::find_if(std::begin(kSteps), std::end(kSteps),
                                         [&](const Step& step) { return step.method == method; });
  return found == std::end(kSteps) ? nullptr : found;
}

bool ChannelSetup::is_setup_method(std::uint32_t method) {
  return find_step(method) != nullptr || is_declare_ok(method) || method == method::basic_consume_ok;
}

std::optional<ProtocolError> ChannelSetup::handle(std::uint32_t method, Reader& arguments) {
  if (is_declare_ok(method))
    return confirm_declaration(method);
  if (method == method::basic_consume_ok) {
    confirm_consumer();
    return std::nullopt;
  }
  const Step* const step = find_step(method);
  if (step == nullptr || state_ != step->expected)
    return ProtocolError::out_of_order;
  state_ = step->next;
  return (this->*step->act)(arguments);
}

const std::string* ChannelSetup::pending_declaration_key() const {
  return state_ == State::declaring_topology ? &declarer_.current_key() : nullptr;
}

std::optional<ProtocolError> ChannelSetup::log_in(Reader& arguments) {
  arguments.u16();    // the version: any revision of 0-9 will do
  arguments.table();  // the broker's properties
  const std::string mechanisms = arguments.long_text();
  if (mechanisms.find(kMechanism) == std::string::npos)
    return ProtocolError::no_plain_login;
  Writer answer;
  answer.long_text(client_properties()).short_text(kMechanism).long_text(plain_credentials(broker_));
  answer.short_text("en_US");
  sender_.send(method::connection_start_ok, kConnectionChannel, answer);
  return std::nullopt;
}

std::optional<ProtocolError> ChannelSetup::tune(Reader& arguments) {
  const std::uint16_t max_channels = arguments.u16();
  const std::size_t proposed_frame_size = arguments.u32();  // 0: no limit
  const std::uint16_t heartbeat_s = negotiate_heartbeat(arguments.u16());
  const std::size_t max_frame_size =
      proposed_frame_size == 0 ? kMaxFrameSize : std::min(proposed_frame_size, kMaxFrameSize);
  if (max_frame_size < kMinFrameSize)
    return ProtocolError::frames_too_small;
  sender_.set_max_frame_size(max_frame_size);
  parser_.set_max_payload(max_frame_size - kFrameOverhead);
  sender_.send(method::connection_tune_ok, kConnectionChannel,
               Writer().u16(max_channels).u32(max_frame_size).u16(heartbeat_s));
  // The two last arguments are reserved.
  sender_.send(method::connection_open, kConnectionChannel,
               Writer().short_text(broker_.vhost).short_text("").u8(kNoFlags));
  heartbeat_.start(std::chrono::seconds(heartbeat_s));
  return std::nullopt;
}

// Zero means that a side requests no heartbeats; the other side's interval is used then.
std::uint16_t ChannelSetup::negotiate_heartbeat(std::uint16_t proposed) const {
  const std::uint16_t configured = broker_.heartbeat_s;
  if (proposed == 0 || configured == 0)
    return std::max(proposed, configured);
  return std::min(proposed, configured);
}

std::optional<ProtocolError> ChannelSetup::open_channel(Reader&) {
  sender_.send(method::channel_open, kMessageChannel, Writer().short_text(""));
  return std::nullopt;
}

std::optional<ProtocolError> ChannelSetup::select_confirms(Reader&) {
  sender_.send(method::confirm_select, kMessageChannel, Writer().u8(kNoFlags));
  return std::nullopt;
}

std::optional<ProtocolError> ChannelSetup::set_prefetch(Reader&) {
  sender_.send(method::basic_qos, kMessageChannel,
               Writer().u32(kAnyPrefetchSize).u16(broker_.prefetch).u8(kNoFlags));
  return std::nullopt;
}

std::optional<ProtocolError> ChannelSetup::begin_topology(Reader&) {
  declare_next();
  return std::nullopt;
}

std::optional<ProtocolError> ChannelSetup::confirm_declaration(std::uint32_t method) {
  if (is_complete())
    return std::nullopt;  // of a queue that was declared again, see QueueConsumers::restart()
  if (state_ != State::declaring_topology || !declarer_.confirm(method))
    return ProtocolError::out_of_order;
  declare_next();
  return std::nullopt;
}

void ChannelSetup::declare_next() {
  if (!declarer_.is_complete()) {
    declarer_.send_next();
    return;
  }
  state_ = State::starting_consumers;
  consumers_.start_all();
}

void ChannelSetup::confirm_consumer() {
  if (state_ == State::starting_consumers && consumers_.confirm())
    state_ = State::complete;
}

}  // namespace lotusyard::amqp
