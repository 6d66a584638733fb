#include "works/host_use.h"

#include <algorithm>
#include <cmath>

namespace lotusyard::works {
namespace {

constexpr double kLeastSeconds = 0.001;  // over which calls are counted

}  // namespace

void HostUse::note_lease(bool leased) {
  if (leased == leased_) return;
  note_(leased ? "lease held" : "lease over: hosts that may be next are left alone");
  wiring_.counters.add(leased ? "works.leases" : "works.leases_over");
}

void HostUse::follow(const Board& board, const Knowledge& knowledge) {
  note_lease(knowledge.leased);
  const bool ended = leased_ && !knowledge.leased;
  leased_ = knowledge.leased;
  const auto change = leaving_.follow(board, leased_, wiring_.membership.hosts());
  for (const auto& line : change.lines) note_(line);
  wiring_.membership.works(change.out, change.anew, wiring_.loop.now());
  wiring_.membership.hold_all(knowledge.held_back);
  if (!ended) return;
  // What was decided while the lease held must not go out after it.
  for (const auto& host : change.out) wiring_.fleet.cut(host);
}

void HostUse::attempt_ended(const std::string& host, const core::Call& call, core::Outcome outcome) {
  using core::Outcome;
  if (outcome == Outcome::ok) {
    const auto* cls = core::class_named(wiring_.settings(), call.class_name);
    watch_.served(host, call.function, cls == nullptr ? 1 : cls->worth, wiring_.loop.now());
  } else if (outcome == Outcome::connect_failed || outcome == Outcome::reset) {
    watch_.failed(host, wiring_.loop.now());
  }
}

View HostUse::see(const Board& board) {
  const Millis now = wiring_.loop.now();
  View out = leaving_.see(board, watch_, wiring_.membership.hosts(), wiring_.membership.out(), now);
  const auto& counters = wiring_.counters;
  const double taken = static_cast<double>(counters.value("calls.taken"));
  const double lost = static_cast<double>(counters.value("calls.refused") + counters.value("calls.failed"));
  const double seconds = std::max(kLeastSeconds, (now - counted_at_).count() / 1000);
  out.asked = std::round((taken - taken_) / seconds);
  out.lost = std::round((lost - lost_) / seconds);
  taken_ = taken;
  lost_ = lost;
  counted_at_ = now;
  return out;
}

}  // namespace lotusyard::works
