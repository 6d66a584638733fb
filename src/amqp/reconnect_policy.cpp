#include "amqp/reconnect_policy.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::amqp {
namespace {

// Keeps the power of two finite; max_delay is reached long before.
constexpr std::size_t kMaxDoublings = 20;
// After a code that may pass by itself the delay is at least this part of max_delay.
constexpr double kLaterPart = 5;

// Some brokers end the connection without a reply code if the password is wrong.
std::uint16_t effective_code(const CloseReason& reason) {
  return reason.code == kNoReplyCode && reason.at_login ? kAccessRefused : reason.code;
}

std::string operator_message(const CloseReason& reason, std::uint16_t code) {
  if (code == kAccessRefused) {
    return reason.code == kNoReplyCode
               ? "the broker ended the connection at the login: the user, password or vhost is refused"
               : "the broker refused access (403): see user, password, vhost and their permissions";
  }
  if (retry_advice(code) != RetryAdvice::after_operator)
    return {};
  const std::string& key = reason.declaration_key;
  return (key.empty() ? "" : "configuration: " + key + ": ") +
         "the broker refuses for good: " + std::to_string(code) + " " + reply_code_name(code);
}

}  // namespace

ReconnectPolicy::ReconnectPolicy(std::vector<std::string> brokers, std::uint64_t seed, const Bounds& bounds)
    : brokers_(std::move(brokers)), bounds_(bounds), random_(seed) {}

ReconnectPlan ReconnectPolicy::on_closed(const CloseReason& reason) {
  // A broker may accept connections and end each one at once. Only a connection that was up for a while
  // shows that the broker works.
  if (reason.came_up && reason.up_for >= bounds_.stable_after)
    failures_ = 0;
  const std::uint16_t code = effective_code(reason);
  const RetryAdvice advice = retry_advice(code);
  select_broker(reason, code);
  const Millis delay = base_delay(advice);
  ++failures_;
  // Without jitter, invokers that lose a broker at the same moment would reach the next one all at once.
  const Millis jittered_delay = std::min(delay * jitter(), max_delay(advice));
  return {broker_, jittered_delay, operator_message(reason, code)};
}

// The brokers are tried in rotation, since one may grant what another has refused. The broker that served is
// tried again first if it gave no reason for the end.
void ReconnectPolicy::select_broker(const CloseReason& reason, std::uint16_t code) {
  const bool stay = reason.came_up && failures_ == 0 && code == kNoReplyCode;
  if (!stay)
    broker_ = (broker_ + 1) % brokers_.size();
}

// The delay doubles with each rotation: each broker is tried once before it grows.
Millis ReconnectPolicy::base_delay(RetryAdvice advice) const {
  const std::size_t rotations = std::min(failures_ / brokers_.size(), kMaxDoublings);
  const Millis delay =
      std::min(bounds_.initial_delay * std::pow(2.0, static_cast<double>(rotations)), max_delay(advice));
  const bool ends_rotation = (failures_ + 1) % brokers_.size() == 0;
  if (!ends_rotation)
    return delay;
  switch (advice) {
    case RetryAdvice::soon:
      return delay;
    case RetryAdvice::later:
      return std::max(delay, bounds_.max_delay / kLaterPart);
    case RetryAdvice::after_operator:
      return std::max(delay, bounds_.max_delay);
  }
  return delay;
}

Millis ReconnectPolicy::max_delay(RetryAdvice advice) const {
  return advice == RetryAdvice::after_operator ? bounds_.max_operator_delay : bounds_.max_delay;
}

// From 0.5 to 1.5.
double ReconnectPolicy::jitter() {
  constexpr std::uint64_t kSteps = 1000;
  return 0.5 + static_cast<double>(random_() % kSteps) / kSteps;
}

}  // namespace lotusyard::amqp
