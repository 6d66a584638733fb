// Which broker is reached next, and when, after a connection has ended: by why it ended. No I/O; the clock is
// passed in.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "core/types.h"

namespace lotusyard::amqp {

using core::Millis;

// How a connection ended. `code` is the broker's reply code; 0 if it gave none.
struct Ending {
  std::uint16_t code = 0;
  bool came_up = false;   // consuming had begun
  Millis up_for{0};       // since then
  bool at_login = false;  // after our credentials, before the broker tuned: a refusal may have no code at all
  std::string about{};    // the key in the operator's file that was refused, if one is known
};

// What the specification's reply codes say of trying again.
enum class Again {
  soon,      // the broker goes, or has trouble of its own: another one may serve
  later,     // it may pass by itself: a queue in another's hands, no resources
  operator_  // it stays so until somebody changes the file or the broker; tried again now and then all the
             // same
};
Again again_after(std::uint16_t code);
// The reason in the specification's word, for counters and logs.
const char* name_of(std::uint16_t code);

struct Plan {
  std::size_t broker = 0;
  Millis wait{0};
  std::string say;  // for the operator; empty where there is nothing to do
};

class Recovery {
 public:
  struct Bounds {
    Millis first{100}, most{5000}, operator_most{30000}, settled{10000};
  };
  Recovery(std::vector<std::string> brokers, std::uint64_t seed, const Bounds& bounds);
  Recovery(std::vector<std::string> brokers, std::uint64_t seed)
      : Recovery(std::move(brokers), seed, Bounds()) {}

  Plan after(const Ending& ending);
  std::size_t broker() const { return broker_; }
  const std::string& address() const { return brokers_[broker_]; }

 private:
  std::vector<std::string> brokers_;
  Bounds bounds_;
  std::mt19937_64 random_;
  std::size_t broker_ = 0, failures_ = 0;  // failures_: on end, over all brokers

  double jitter() { return 0.5 + static_cast<double>(random_() % 1000) / 1000; }  // 0.5 to 1.5
};

}  // namespace lotusyard::amqp
