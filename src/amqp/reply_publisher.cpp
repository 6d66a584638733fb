#include "amqp/reply_publisher.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "amqp/delivery_parser.h"
#include "metrics/amqp_counters.h"

namespace lotusyard::amqp {
namespace {

constexpr core::Millis kResendDelay{200};
constexpr std::uint8_t kPersistent = 2;

// Headers of answers, named by the platform's page on triggers.
constexpr char kStatusHeader[] = "word";
constexpr char kRetryAfterHeader[] = "cooldown";

// The words are those of the platform's page on triggers.
std::string status_text(core::CallStatus status) {
  switch (status) {
    case core::CallStatus::succeeded:
      return "OK";
    case core::CallStatus::rejected:
      return "BUSY";
    case core::CallStatus::failed:
      break;
  }
  return "FAILED";
}

Properties reply_properties(const std::string& call_key, const ReplyAddress& address,
                            const core::Answer& answer) {
  Properties properties;
  properties.content_type = "application/octet-stream";
  properties.correlation_id = address.correlation_id;
  if (is_message_id(call_key))
    properties.message_id = call_key;
  properties.delivery_mode = kPersistent;
  properties.headers[kStatusHeader] = status_text(answer.status);
  if (answer.retry_after.count() > 0) {
    const double retry_after_ms = std::ceil(answer.retry_after.count());
    properties.headers[kRetryAfterHeader] = static_cast<std::int64_t>(retry_after_ms);
  }
  return properties;
}

// Whether the broker holds the answer to a publication, so that only its acknowledgement was lost. After a
// rejection a delivery may be of a later publication with the same properties: it is, if this one was
// acknowledged on the channel that is open.
bool lacks_only_acknowledgement(const ReceivedPublication& received, core::CallStatus status) {
  return received.confirmed && !(received.acknowledged && status == core::CallStatus::rejected);
}

}  // namespace

ReplyPublisher::Reply* ReplyPublisher::find(const PendingDelivery& delivery,
                                            const std::shared_ptr<const core::Answer>& answer) {
  const auto matches = [&](const Reply& reply) {
    return reply.answer == answer && reply.call_key == delivery.call_key &&
           reply.publication == delivery.publication;
  };
  for (auto& [number, reply] : unconfirmed_) {
    if (matches(reply))
      return &reply;
  }
  const auto unsent = std::find_if(unsent_.begin(), unsent_.end(), matches);
  return unsent == unsent_.end() ? nullptr : &*unsent;
}

void ReplyPublisher::reply(const PendingDelivery& delivery) {
  CachedDelivery& cached = *cache_.find(delivery.call_key);
  if (Reply* pending = find(delivery, cached.answer)) {
    pending->delivery_tags.push_back(delivery.tag);
    return;
  }
  const ReceivedPublication* known = cached.find(delivery.publication);
  if (delivery.redelivered && known != nullptr && lacks_only_acknowledgement(*known, cached.answer->status))
    return connection_.channel()->acknowledge(delivery.tag);
  publish({delivery.call_key, delivery.publication, cached.answer, {delivery.tag}});
}

void ReplyPublisher::publish(Reply&& reply) {
  Channel& channel = *connection_.channel();
  if (!channel.may_publish()) {
    unsent_.push_back(std::move(reply));
    return;
  }
  const Properties properties = reply_properties(reply.call_key, reply.publication.address, *reply.answer);
  const std::uint64_t number =
      channel.publish(reply.publication.address.reply_to, properties, reply.answer->body);
  unconfirmed_.emplace(number, std::move(reply));
}

void ReplyPublisher::on_confirmation(const Confirmation& confirmation) {
  for (Reply& reply : take_confirmed(confirmation)) {
    if (confirmation.kind == ConfirmKind::nack)
      resend_later(std::move(reply));
    else
      on_accepted(reply);
  }
}

std::vector<ReplyPublisher::Reply> ReplyPublisher::take_confirmed(const Confirmation& confirmation) {
  auto first = unconfirmed_.begin();
  auto last = unconfirmed_.end();
  if (!confirmation.multiple) {
    std::tie(first, last) = unconfirmed_.equal_range(confirmation.number);
  } else if (confirmation.number != 0) {  // zero: all that were published so far
    last = unconfirmed_.upper_bound(confirmation.number);
  }
  std::vector<Reply> confirmed;
  for (auto reply = first; reply != last; ++reply)
    confirmed.push_back(std::move(reply->second));
  unconfirmed_.erase(first, last);
  return confirmed;
}

void ReplyPublisher::resend_later(Reply&& reply) {
  counters_.add(metrics::kAmqpNacked);
  unsent_.push_back(std::move(reply));
  loop_.cancel(resend_timer_);
  resend_timer_ = loop_.schedule_at(loop_.now() + kResendDelay, [this] { resend(); });
}

void ReplyPublisher::on_accepted(const Reply& reply) {
  CachedDelivery* const cached = cache_.find(reply.call_key);
  // If the message was published again meanwhile, what is confirmed is not the answer to that.
  if (cached != nullptr && cached->answer == reply.answer) {
    ReceivedPublication& received = cached->add(reply.publication);
    received.confirmed = true;
    received.acknowledged = true;
    if (cached->non_idempotent)
      recorder_.record_answer_confirmed(reply.call_key, reply.publication.address);
  }
  for (const std::uint64_t tag : reply.delivery_tags)
    connection_.channel()->acknowledge(tag);
}

void ReplyPublisher::resend() {
  // publish() appends to the queue what the broker does not allow yet.
  for (std::size_t remaining = unsent_.size(); remaining > 0; --remaining) {
    const Channel* channel = connection_.channel();
    if (channel == nullptr || !channel->may_publish())
      return;
    Reply next = std::move(unsent_.front());
    unsent_.pop_front();
    publish(std::move(next));
  }
}

void ReplyPublisher::on_channel_closed() {
  unconfirmed_.clear();
  unsent_.clear();
}

}  // namespace lotusyard::amqp
