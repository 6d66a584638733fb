// What happens to the processes of a tier and to what they send each other.
#include "control/tier_cluster.h"

namespace lotusyard::test {
namespace {

using Way = Relay::Way;
using Mode = Relay::Mode;

// Beyond the lease and the longest call, so that the group goes on without whoever is away.
constexpr double kShortAbsence = 200, kBeyondLease = 700, kLongAbsence = 2300;

}  // namespace

void TierCluster::set(Invoker& invoker, Way way, Mode mode) {
  for (const auto& relay : invoker.relays)
    relay->set(way, mode);
}

void TierCluster::delay(Invoker& invoker, double most) {
  for (const auto& relay : invoker.relays) {
    for (const Way way : {Way::to_node, Way::to_invoker})
      relay->delay(way, Millis(most));
  }
}

void TierCluster::cut_sessions(Invoker& invoker, bool cut) {
  for (const Way way : {Way::to_node, Way::to_invoker})
    set(invoker, way, cut ? Mode::cut : Mode::open);
}

void TierCluster::cut_from_log(Member& member, bool cut) {
  for (const auto& other : members) {
    if (other.get() == &member)
      continue;
    if (cut) {
      other->relay->cut.insert(member.name);
      member.relay->cut.insert(other->name);
    } else {
      other->relay->heal(member.name);
      member.relay->heal(other->name);
    }
  }
}

void TierCluster::heal() {
  undos_.clear();
  for (auto& member : members)
    cut_from_log(*member, false);
  for (auto& invoker : invokers) {
    cut_sessions(*invoker, false);
    delay(*invoker, 0);
  }
}

void TierCluster::disturb() {
  disturb(only_ ? *only_ : static_cast<Disturbance>(below(random, disturbances)));
}

void TierCluster::disturb(Disturbance kind) {
  Member& node = one_of(nodes);
  Invoker& invoker = one_of(invokers);
  const double absence = span(kShortAbsence, kLongAbsence), long_absence = span(kBeyondLease, kLongAbsence);
  const auto open_later = [&] { undo_later(absence, [this, &invoker] { cut_sessions(invoker, false); }); };
  switch (kind) {
    case Disturbance::kill_node:
      return kill_for(node, absence);
    case Disturbance::kill_voter:
      return kill_for(one_of(voters), absence);
    case Disturbance::kill_invoker:
      return kill_for(invoker, absence);
    case Disturbance::stop_node:
      return stop_for(node, long_absence);
    case Disturbance::stop_invoker:
      return stop_for(invoker, long_absence);
    case Disturbance::silence_session:
      cut_sessions(invoker, true);
      return undo_later(long_absence, [this, &invoker] { cut_sessions(invoker, false); });
    case Disturbance::delay_session:
      delay(invoker, span(100, 1500));
      return undo_later(absence, [this, &invoker] { delay(invoker, 0); });
    case Disturbance::hold_session:
      for (const Way way : {Way::to_node, Way::to_invoker})
        set(invoker, way, Mode::held);
      return open_later();
    case Disturbance::cut_to_node:
      set(invoker, Way::to_node, Mode::cut);
      return open_later();
    case Disturbance::cut_to_invoker:
      set(invoker, Way::to_invoker, Mode::cut);
      return open_later();
    case Disturbance::reset_sessions:
      for (const auto& relay : invoker.relays)
        relay->reset();
      return;
    case Disturbance::drop_session:
      cut_sessions(invoker, true);
      for (const auto& relay : invoker.relays)
        relay->close();
      return open_later();
    case Disturbance::cut_node_from_log:
      cut_from_log(node, true);
      return undo_later(long_absence, [this, &node] { cut_from_log(node, false); });
    case Disturbance::restart_node_without_sessions:
      for (const auto& one : invokers)
        cut_sessions(*one, true);
      kill_for(node, 1);
      return undo_later(long_absence, [this] {
        for (const auto& one : invokers)
          cut_sessions(*one, false);
      });
  }
}

}  // namespace lotusyard::test
