#include "amqp/recovery.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::amqp {
namespace {

struct Code {
  std::uint16_t code;
  const char* name;
  Again again;
};
// Section 1.2 of the specification, all of it.
constexpr Code kCodes[] = {{200, "reply_success", Again::soon},
                           {311, "content_too_large", Again::later},
                           {313, "no_consumers", Again::later},
                           {320, "connection_forced", Again::soon},
                           {402, "invalid_path", Again::operator_},
                           {403, "access_refused", Again::operator_},
                           {404, "not_found", Again::operator_},
                           {405, "resource_locked", Again::later},
                           {406, "precondition_failed", Again::operator_},
                           {501, "frame_error", Again::later},
                           {502, "syntax_error", Again::later},
                           {503, "command_invalid", Again::later},
                           {504, "channel_error", Again::later},
                           {505, "unexpected_frame", Again::later},
                           {506, "resource_error", Again::later},
                           {530, "not_allowed", Again::operator_},
                           {540, "not_implemented", Again::operator_},
                           {541, "internal_error", Again::soon}};

const Code* find(std::uint16_t code) {
  const auto found =
      std::find_if(std::begin(kCodes), std::end(kCodes), [&](const Code& c) { return c.code == code; });
  return found == std::end(kCodes) ? nullptr : found;
}

}  // namespace

// A code that the specification does not have is taken as one that may pass.
Again again_after(std::uint16_t code) {
  const Code* found = find(code);
  return found != nullptr ? found->again : code == 0 ? Again::soon : Again::later;
}
const char* name_of(std::uint16_t code) {
  const Code* found = find(code);
  return found != nullptr ? found->name : code == 0 ? "none" : "other";
}

Recovery::Recovery(std::vector<std::string> brokers, std::uint64_t seed, const Bounds& bounds)
    : brokers_(std::move(brokers)), bounds_(bounds), random_(seed) {}

Plan Recovery::after(const Ending& ending) {
  // A broker that takes us and ends the connection at once, again and again, is reached as if all
  // were well. Only one that has been up for a while has shown that it is.
  if (ending.came_up && ending.up_for >= bounds_.settled)
    failures_ = 0;
  // Some brokers end the connection without a word on a wrong password.
  const std::uint16_t code = ending.code == 0 && ending.at_login ? 403 : ending.code;
  const Again again = again_after(code);
  Plan out;
  // The list is gone through in turn; what one has refused another may grant. The one that served is tried
  // again first if it ended for no fault that it told.
  const bool stay = ending.came_up && failures_ == 0 && code == 0;
  if (!stay)
    broker_ = (broker_ + 1) % brokers_.size();
  out.broker = broker_;
  const std::size_t round = failures_ / brokers_.size();  // each broker has its turn before the pause grows
  const Millis most = again == Again::operator_ ? bounds_.operator_most : bounds_.most;
  Millis wait =
      std::min(bounds_.first * std::pow(2.0, static_cast<double>(std::min<std::size_t>(round, 20))), most);
  const bool all_tried = (failures_ + 1) % brokers_.size() == 0;
  if (again == Again::operator_ && all_tried)
    wait = std::max(wait, bounds_.most);
  if (again == Again::later && all_tried)
    wait = std::max(wait, bounds_.most / 5);
  ++failures_;
  // Invokers that lose one broker in the same moment come to the next in step.
  out.wait = std::min(wait * jitter(), most);
  if (code == 403) {
    out.say = ending.code == 0
                  ? "the broker ended the connection at the login: the user, password or vhost is refused"
                  : "the broker refused access (403): see user, password, vhost and their permissions";
  } else if (again == Again::operator_) {
    out.say = (ending.about.empty() ? "" : "configuration: " + ending.about + ": ") +
              "the broker refuses for good: " + std::to_string(code) + " " + name_of(code);
  }
  return out;
}

}  // namespace lotusyard::amqp
