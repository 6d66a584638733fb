#include "core/open_call.h"

#include <algorithm>
#include <utility>

namespace lotusyard::core {

OpenCall::OpenCall(CallId id, Call&& call, FrontEnd& front_end, std::shared_ptr<const Settings> settings)
    : id_(id),
      call_(std::move(call)),
      front_end_(&front_end),
      settings_(std::move(settings)),
      call_class_(class_named(*settings_, call_.class_name)) {}

bool OpenCall::is_in_flight_at(const std::string& host) const {
  return std::any_of(in_flight_.begin(), in_flight_.end(),
                     [&](const InFlightAttempt& attempt) { return attempt.host == host; });
}

const InFlightAttempt* OpenCall::find_in_flight(int attempt_number) const {
  const auto found = std::find_if(
      in_flight_.begin(), in_flight_.end(),
      [attempt_number](const InFlightAttempt& attempt) { return attempt.attempt.number == attempt_number; });
  return found == in_flight_.end() ? nullptr : &*found;
}

std::optional<InFlightAttempt> OpenCall::remove_in_flight(int attempt_number, Outcome outcome) {
  const InFlightAttempt* found = find_in_flight(attempt_number);
  if (found == nullptr)
    return std::nullopt;
  InFlightAttempt removed = *found;
  in_flight_.erase(in_flight_.begin() + (found - in_flight_.data()));
  if (!policy::proves_never_ran(outcome))
    may_have_run_ = true;
  return removed;
}

}  // namespace lotusyard::core
