#include "amqp/channel.h"

#include <algorithm>

#include "amqp/methods.h"
#include "metrics/amqp_counters.h"

namespace lotusyard::amqp {
namespace {

using net::Millis;

constexpr std::uint16_t kChannel = 1;
constexpr std::uint32_t kFrameMost = 128 * 1024;
constexpr Millis kSetupMost{10000};  // a broker that never finishes the handshake is left
constexpr std::string_view kGreeting("AMQP\0\0\x09\x01", 8);

std::string consumer_tag(std::size_t queue) { return "lotusyard-" + std::to_string(queue); }

}  // namespace

Channel::Channel(net::EventLoop& loop, net::BufferPool& pool, metrics::Counters& counters,
                 const Broker& broker, Consumer& consumer, net::Socket socket)
    : BufferedConnection(loop, pool, std::move(socket), true),
      counters_(counters),
      broker_(broker),
      consumer_(consumer) {
  setup_ = loop.schedule_at(loop.now() + kSetupMost, [this] { lost(metrics::kAmqpSetupLate); });
}

Channel::~Channel() {
  for (const auto& timer : {beat_, quiet_, setup_})
    loop().cancel(timer);
}

bool Channel::lost(const metrics::Counter& why) {
  counters_.add(why);
  close_later();
  return false;
}

void Channel::on_connected() { write(kGreeting); }

void Channel::on_closed() {
  for (const auto& timer : {beat_, quiet_, setup_})
    loop().cancel(timer);
  ending_.came_up = up_since_.count() > 0;
  ending_.up_for = ending_.came_up ? loop().now() - up_since_ : Millis(0);
  ending_.at_login = state_ == State::tune;
  consumer_.on_channel_closed(ending_);
}

// The broker's word for it, kept for whoever decides when to come back.
bool Channel::closed_by(Reader& in, const metrics::Counter& why) {
  ending_.code = in.u16();
  counters_.add(metrics::kAmqpClosed, name_of(ending_.code));
  if (state_ == State::declare)
    ending_.about = broker_.topology[declared_].key;
  flush_now();
  return lost(why);
}

void Channel::say(std::uint32_t id, std::uint16_t channel, const Writer& arguments) {
  Writer head;
  head.u16(id >> 16).u16(id & 0xFFFF);
  write(frame(FrameType::method, channel, head.bytes() + arguments.bytes()));
}

void Channel::on_received(std::string_view bytes) {
  watch_quiet();
  std::vector<Frame> frames;
  const bool sound = parser_.parse(bytes, frames);
  for (auto& one : frames) {
    if (!take(std::move(one)))
      return;
  }
  if (!sound)
    lost(metrics::kAmqpMalformed);
}

// False if the connection ends: what follows in the same bytes is not looked at any more.
bool Channel::take(Frame&& one) {
  if (one.type == FrameType::heartbeat)
    return true;
  if (one.channel != 0 && one.channel != kChannel)
    return lost(metrics::kAmqpUnknownChannel);
  if (one.type != FrameType::method)
    return content(std::move(one));
  if (content_ != Content::none)
    return lost(metrics::kAmqpContentBrokenOff);
  Reader in(one.payload);
  const std::uint32_t call_class = in.u16();
  const std::uint32_t id = method::id(call_class, in.u16());
  if (!method(in, id))
    return false;
  return in.ok() ? true : lost(metrics::kAmqpMalformed);
}

bool Channel::method(Reader& in, std::uint32_t id) {
  const auto step = [&](State from, State to) {
    if (state_ != from)
      return lost(metrics::kAmqpOutOfOrder);
    state_ = to;
    return true;
  };
  switch (id) {
    case method::connection_start: {
      if (!step(State::start, State::tune))
        return false;
      in.u16();  // the version: 0-9 of any revision
      in.table();
      const std::string mechanisms = in.long_text();
      if (mechanisms.find("PLAIN") == std::string::npos)
        return lost(metrics::kAmqpNoPlainLogin);
      using namespace std::string_literals;
      // A table within a table: without these words a broker says neither `blocked` nor why a login is
      // refused.
      Writer properties;
      properties.short_text("product").u8('S').long_text("lotusyard");
      properties.short_text("capabilities")
          .u8('F')
          .table({{"connection.blocked", true},
                  {"authentication_failure_close", true},
                  {"publisher_confirms", true}});
      say(method::connection_start_ok, 0,
          Writer()
              .long_text(properties.bytes())
              .short_text("PLAIN")
              .long_text("\0"s + broker_.user + "\0"s + broker_.password)
              .short_text("en_US"));
      return true;
    }
    case method::connection_tune: {
      if (!step(State::tune, State::open))
        return false;
      const std::uint16_t channels = in.u16();
      const std::uint32_t most = in.u32();
      const std::uint16_t theirs = in.u16();
      frame_most_ = most == 0 ? kFrameMost : std::min(most, kFrameMost);
      if (frame_most_ < 4096)
        return lost(metrics::kAmqpFramesTooSmall);  // the specification's least
      parser_.limit(frame_most_ - FrameParser::overhead);
      const std::uint16_t mine = broker_.heartbeat_s;
      const std::uint16_t seconds =
          theirs == 0 || mine == 0 ? std::max(theirs, mine) : std::min(theirs, mine);
      say(method::connection_tune_ok, 0, Writer().u16(channels).u32(frame_most_).u16(seconds));
      say(method::connection_open, 0, Writer().short_text(broker_.vhost).short_text("").u8(0));
      interval_ = Millis(1000.0 * seconds);
      beat();
      watch_quiet();
      return true;
    }
    case method::connection_open_ok:
      if (!step(State::open, State::channel))
        return false;
      say(method::channel_open, kChannel, Writer().short_text(""));
      return true;
    case method::channel_open_ok:
      if (!step(State::channel, State::confirm))
        return false;
      say(method::confirm_select, kChannel, Writer().u8(0));
      return true;
    case method::confirm_select_ok:
      if (!step(State::confirm, State::qos))
        return false;
      say(method::basic_qos, kChannel, Writer().u32(0).u16(broker_.prefetch).u8(0));
      return true;
    case method::basic_qos_ok:
      if (!step(State::qos, State::declare))
        return false;
      declare_next();
      return true;
    case method::exchange_declare_ok:
    case method::queue_declare_ok:
    case method::queue_bind_ok:
      if (state_ == State::up)
        return true;  // of a queue made again
      if (state_ != State::declare || id != declare(broker_.topology[declared_]).ok)
        return lost(metrics::kAmqpOutOfOrder);
      ++declared_;
      declare_next();
      return true;
    case method::basic_consume_ok:
      if (state_ == State::consume && ++consumers_ == broker_.queues.size()) {
        state_ = State::up;
        up_since_ = loop().now();
        loop().cancel(setup_);
        consumer_.on_channel_open();
      }
      return true;
    case method::basic_cancel_ok:
      return true;
    case method::basic_cancel:
      consume_again(in.short_text());
      return true;
    case method::basic_deliver:
      in.short_text();
      delivery_ = Delivery();
      delivery_.tag = in.u64();
      delivery_.redelivered = (in.u8() & 1) != 0;
      content_ = Content::delivery;
      header_seen_ = false;
      return true;
    case method::basic_return:
      counters_.add(
          metrics::kAmqpAnswersReturned);  // nobody holds the reply queue any more; a confirm follows
      delivery_ = Delivery();
      content_ = Content::returned;
      header_seen_ = false;
      return true;
    case method::basic_ack:
    case method::basic_nack: {
      const std::uint64_t number = in.u64();
      const bool multiple = (in.u8() & 1) != 0;
      consumer_.confirmed(number, multiple, id == method::basic_ack);
      return true;
    }
    case method::channel_flow: {
      flowing_ = (in.u8() & 1) != 0;
      say(method::channel_flow_ok, kChannel, Writer().u8(flowing_ ? 1 : 0));
      if (flowing_ && state_ == State::up)
        consumer_.on_channel_open();
      return true;
    }
    case method::connection_blocked:
      counters_.add(metrics::kAmqpBlocked);
      blocked_ = true;
      return true;
    case method::connection_unblocked:
      if (std::exchange(blocked_, false) && state_ == State::up)
        consumer_.on_channel_open();
      return true;
    case method::channel_close:
      say(method::channel_close_ok, kChannel, Writer());
      return closed_by(in, metrics::kAmqpChannelClosed);
    case method::connection_close:
      say(method::connection_close_ok, 0, Writer());
      return closed_by(in, metrics::kAmqpConnectionClosed);
    case method::connection_close_ok:
      close_later();
      return false;
    default:
      return lost(metrics::kAmqpUnknownMethod);
  }
}

// One after the other, so that a refusal is known to be of the one that is out.
void Channel::declare_next() {
  if (declared_ < broker_.topology.size()) {
    const Declared next = declare(broker_.topology[declared_]);
    return say(next.method, kChannel, next.arguments);
  }
  state_ = State::consume;
  consume_all();
}

void Channel::consume_all() {
  for (std::size_t i = 0; i < broker_.queues.size(); ++i)
    consume(i);
}
void Channel::consume(std::size_t queue) {
  say(method::basic_consume, kChannel,
      Writer().u16(0).short_text(broker_.queues[queue]).short_text(consumer_tag(queue)).u8(0).table({}));
}

// The broker ends one consumer as its queue is deleted or moves. If it cannot be consumed again the broker
// closes the channel, and Recovery decides when to come back; the other queues are served until then.
void Channel::consume_again(const std::string& tag) {
  counters_.add(metrics::kAmqpConsumerCancelled);
  for (std::size_t i = 0; i < broker_.queues.size(); ++i) {
    if (consumer_tag(i) != tag)
      continue;
    if (const Declaration* maker = maker_of(broker_.topology, broker_.queues[i])) {
      const Declared again = declare(*maker);
      say(again.method, kChannel, again.arguments);
    }
    consume(i);
  }
}

bool Channel::content(Frame&& one) {
  if (content_ == Content::none)
    return lost(metrics::kAmqpStrayContent);
  if (one.type == FrameType::header) {
    auto read = header_seen_ ? std::nullopt : read_content_header(one.payload);
    if (!read)
      return lost(metrics::kAmqpMalformed);
    header_seen_ = true;
    body_left_ = read->first;
    delivery_.properties = std::move(read->second);
    delivery_.oversized = body_left_ > broker_.longest_body;
  } else {
    if (!header_seen_ || one.payload.size() > body_left_)
      return lost(metrics::kAmqpMalformed);
    body_left_ -= one.payload.size();
    if (!delivery_.oversized)
      delivery_.body += one.payload;
  }
  if (body_left_ == 0)
    content_done();
  return true;
}

void Channel::content_done() {
  const Content kind = std::exchange(content_, Content::none);
  if (kind != Content::delivery)
    return;
  counters_.add(metrics::kAmqpDeliveries);
  consumer_.delivered(std::move(delivery_));
}

std::uint64_t Channel::publish(const std::string& queue, const Properties& properties,
                               std::string_view body) {
  // To the default exchange; mandatory, so that an answer which nobody can get comes back and is counted.
  say(method::basic_publish, kChannel, Writer().u16(0).short_text("").short_text(queue).u8(1));
  write(frame(FrameType::header, kChannel, content_header(body.size(), properties)));
  const std::size_t part = frame_most_ - FrameParser::overhead;
  for (std::size_t at = 0; at < body.size(); at += part) {
    write(frame(FrameType::body, kChannel, body.substr(at, part)));
  }
  counters_.add(metrics::kAmqpPublished);
  return ++published_;
}

void Channel::ack(std::uint64_t tag) {
  counters_.add(metrics::kAmqpAcked);
  say(method::basic_ack, kChannel, Writer().u64(tag).u8(0));
}

void Channel::reject(std::uint64_t tag) {
  counters_.add(metrics::kAmqpRejected);
  say(method::basic_reject, kChannel, Writer().u64(tag).u8(0));
}

void Channel::stop_consuming() {
  for (std::size_t i = 0; up() && i < broker_.queues.size(); ++i) {
    say(method::basic_cancel, kChannel, Writer().short_text(consumer_tag(i)).u8(0));
  }
}

void Channel::close() {
  if (!up())
    return close_later();
  state_ = State::closing;
  say(method::connection_close, 0, Writer().u16(200).short_text("goodbye").u16(0).u16(0));
}

void Channel::beat() {
  if (interval_.count() <= 0)
    return;
  write(frame(FrameType::heartbeat, 0, {}));
  beat_ = loop().schedule_at(loop().now() + interval_ / 2, [this] { beat(); });
}

void Channel::watch_quiet() {
  loop().cancel(quiet_);
  if (interval_.count() <= 0)
    return;
  quiet_ = loop().schedule_at(loop().now() + interval_ * 2, [this] { lost(metrics::kAmqpQuiet); });
}

}  // namespace lotusyard::amqp
