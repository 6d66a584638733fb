// Decides which broker to connect to after a connection has ended, and when. No I/O; it has no clock.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "amqp/reply_code.h"
#include "core/types.h"

namespace lotusyard::amqp {

using core::Millis;

// How a connection ended.
struct CloseReason {
  std::uint16_t code = kNoReplyCode;  // the broker's reply code
  bool came_up = false;               // the handshake was completed
  Millis up_for{0};                   // since then
  bool at_login =
      false;  // between the credentials and the broker's answer: some brokers refuse a login like this
  std::string declaration_key{};  // the configuration key of the declaration that was refused, if known
};

struct ReconnectPlan {
  std::size_t broker = 0;  // index into the list of brokers
  Millis delay{0};
  std::string message;  // for the operator; empty if no action is needed
};

// Exponential backoff with jitter, and a rotation over the brokers.
class ReconnectPolicy {
 public:
  struct Bounds {
    Millis initial_delay{100};
    Millis max_delay{5000};
    Millis max_operator_delay{30000};  // after a refusal that an operator has to resolve
    Millis stable_after{10000};        // a connection that was up for this long resets the backoff
  };
  // `brokers` must not be empty. The jitter follows from the seed.
  ReconnectPolicy(std::vector<std::string> brokers, std::uint64_t seed, const Bounds& bounds);
  ReconnectPolicy(std::vector<std::string> brokers, std::uint64_t seed)
      : ReconnectPolicy(std::move(brokers), seed, Bounds()) {}

  // To be called once for each connection that has ended or could not be made.
  ReconnectPlan on_closed(const CloseReason& reason);
  std::size_t broker() const { return broker_; }
  const std::string& address() const { return brokers_[broker_]; }

 private:
  void select_broker(const CloseReason& reason, std::uint16_t code);
  Millis base_delay(RetryAdvice advice) const;
  Millis max_delay(RetryAdvice advice) const;
  double jitter();

  std::vector<std::string> brokers_;
  Bounds bounds_;
  std::mt19937_64 random_;
  std::size_t broker_ = 0;
  std::size_t failures_ = 0;  // in a row, over all brokers
};

}  // namespace lotusyard::amqp
