// Disturbances of the processes of a TierCluster and of the connections between them.
#include "control/tier_cluster.h"

namespace lotusyard::test {
namespace {

using Direction = Relay::Direction;
using Mode = Relay::Mode;

// In milliseconds. The longer ones exceed the lease and the longest call, so that the group continues without
// the absent process.
constexpr double kShortAbsence = 200, kBeyondLease = 700, kLongAbsence = 2300;

}  // namespace

void TierCluster::set(Invoker& invoker, Direction direction, Mode mode) {
  for (const auto& relay : invoker.relays)
    relay->set(direction, mode);
}

void TierCluster::delay(Invoker& invoker, double max_delay) {
  for (const auto& relay : invoker.relays) {
    for (const Direction direction : {Direction::to_node, Direction::to_invoker})
      relay->delay(direction, Millis(max_delay));
  }
}

void TierCluster::cut_sessions(Invoker& invoker, bool cut) {
  for (const Direction direction : {Direction::to_node, Direction::to_invoker})
    set(invoker, direction, cut ? Mode::cut : Mode::open);
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
  disturb(only_disturbance_ ? *only_disturbance_ : static_cast<Disturbance>(below(random, disturbances)));
}

void TierCluster::disturb(Disturbance kind) {
  Member& node = random_element(nodes);
  Invoker& invoker = random_element(invokers);
  const double absence = random_duration(kShortAbsence, kLongAbsence),
               long_absence = random_duration(kBeyondLease, kLongAbsence);
  const auto open_later = [&] { undo_later(absence, [this, &invoker] { cut_sessions(invoker, false); }); };
  switch (kind) {
    case Disturbance::kill_node:
      return kill_for(node, absence);
    case Disturbance::kill_voter:
      return kill_for(random_element(voters), absence);
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
      delay(invoker, random_duration(100, 1500));
      return undo_later(absence, [this, &invoker] { delay(invoker, 0); });
    case Disturbance::hold_session:
      for (const Direction direction : {Direction::to_node, Direction::to_invoker})
        set(invoker, direction, Mode::held);
      return open_later();
    case Disturbance::cut_to_node:
      set(invoker, Direction::to_node, Mode::cut);
      return open_later();
    case Disturbance::cut_to_invoker:
      set(invoker, Direction::to_invoker, Mode::cut);
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
