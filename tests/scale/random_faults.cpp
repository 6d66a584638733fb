#include "scale/random_faults.h"

namespace lotusyard::test {
namespace {

constexpr double kMinDuration = 500, kMaxDuration = 14000;  // milliseconds, of a cut or a stop
constexpr double kQuickRestart = 1500;
constexpr double kInvokerFraction = 0.1;
constexpr int kBurstChanges = 20;

}  // namespace

void RandomFaults::start(double until, double pause) {
  const double next = fleet_.now() + fleet_.uniform(0.5, 1.5) * pause;
  if (next >= until)
    return;
  fleet_.at(next, [this, until, pause] {
    inject_fault();
    start(until, pause);
  });
}

void RandomFaults::inject_fault() {
  switch (fleet_.random_below(14)) {
    case 0:
      return kill_node(true);
    case 1:
      return kill_node(false);
    case 2:
      return drain_node();
    case 3:
      return stop_node();
    case 4:
      return stop_invokers();
    case 5:
      return kill_invokers();
    case 6:
      return close_invokers();
    case 7:
      return cut_zone();
    case 8:
      return cut_region();
    case 9:
      return cut_node_from_log();
    case 10:
      return cut_invokers_from_nodes();
    case 11:
      return delay_some();
    case 12:
      return restart_all_nodes();
    default:
      return burst();
  }
}

template <typename Fault>
void RandomFaults::for_some_invokers(double share, const Fault& fault) {
  for (std::size_t i = 0; i < fleet_.invokers().size(); ++i) {
    if (fleet_.uniform(0, 1) < share)
      fault(i);
  }
}

void RandomFaults::kill_node(bool resets) {
  const std::size_t node = random_node();
  const double longest = fleet_.random_below(2) == 0 ? kQuickRestart : kMaxDuration;
  fleet_.kill_node(node, resets);
  fleet_.at(fleet_.now() + fleet_.uniform(kMinDuration, longest), [this, node] { fleet_.start_node(node); });
}

// As after a fault common to all nodes, while some invokers are cut off with leases that have not expired.
void RandomFaults::restart_all_nodes() {
  cut_invokers_from_nodes();
  for (std::size_t node = 0; node < fleet_.nodes().size(); ++node) {
    fleet_.kill_node(node, fleet_.random_below(2) == 0);
    fleet_.at(fleet_.now() + fleet_.uniform(kMinDuration, kQuickRestart), [this, node] {
      fleet_.start_node(node);
      fleet_.change();
    });
  }
}

void RandomFaults::drain_node() {
  const std::size_t node = random_node();
  fleet_.drain_node(node);
  fleet_.at(fleet_.now() + fleet_.uniform(6000, kMaxDuration), [this, node] { fleet_.start_node(node); });
}

void RandomFaults::stop_node() {
  fleet_.stop_node(random_node(), fleet_.uniform(kMinDuration, kMaxDuration));
}

void RandomFaults::stop_invokers() {
  const double span = fleet_.uniform(kMinDuration, kMaxDuration);
  for_some_invokers(kInvokerFraction, [&](std::size_t i) { fleet_.stop_invoker(i, span); });
}

void RandomFaults::kill_invokers() {
  for_some_invokers(kInvokerFraction, [&](std::size_t i) {
    fleet_.kill_invoker(i);
    fleet_.at(fleet_.now() + fleet_.uniform(0, kMaxDuration), [this, i] { fleet_.start_invoker(i); });
  });
}

void RandomFaults::close_invokers() {
  for_some_invokers(kInvokerFraction, [&](std::size_t i) {
    fleet_.close_invoker(i);
    fleet_.at(fleet_.now() + fleet_.uniform(0, kMaxDuration), [this, i] { fleet_.start_invoker(i); });
  });
}

void RandomFaults::choose_directions(Cut& cut) {
  const std::size_t directions = fleet_.random_below(4);
  cut.outward = directions != 0;
  cut.inward = directions != 1;
}

void RandomFaults::cut_for(Cut cut, double span) {
  const int name = ++last_cut_;
  fleet_.cut(name, std::move(cut));
  fleet_.at(fleet_.now() + span, [this, name] { fleet_.heal(name); });
}

void RandomFaults::cut_zone() {
  Cut cut;
  const int zone = static_cast<int>(fleet_.random_below(static_cast<std::size_t>(fleet_.options().zones)));
  cut.inside = [zone](const Endpoint& endpoint) { return endpoint.zone == zone; };
  choose_directions(cut);
  cut_for(std::move(cut), fleet_.uniform(kMinDuration, kMaxDuration));
}

void RandomFaults::cut_region() {
  Cut cut;
  const int region =
      static_cast<int>(fleet_.random_below(static_cast<std::size_t>(fleet_.options().regions)));
  cut.inside = [region](const Endpoint& endpoint) { return endpoint.region == region; };
  choose_directions(cut);
  cut_for(std::move(cut), fleet_.uniform(kMinDuration, kMaxDuration));
}

// The node's invokers still reach it.
void RandomFaults::cut_node_from_log() {
  const std::size_t node = random_node();
  Cut cut;
  cut.inside = [node](const Endpoint& endpoint) {
    return endpoint.kind == ProcessKind::node && endpoint.number == node;
  };
  cut.outside = [](const Endpoint& endpoint) { return endpoint.kind == ProcessKind::log; };
  choose_directions(cut);
  cut_for(std::move(cut), fleet_.uniform(kMinDuration, kMaxDuration));
}

void RandomFaults::cut_invokers_from_nodes() {
  const std::size_t parts = 4, part = fleet_.random_below(parts);
  Cut cut;
  cut.inside = [=](const Endpoint& endpoint) {
    return endpoint.kind == ProcessKind::invoker && endpoint.number % parts == part;
  };
  choose_directions(cut);
  cut_for(std::move(cut), fleet_.uniform(kMinDuration, kMaxDuration));
}

void RandomFaults::delay_some() {
  const double delay = fleet_.uniform(100, 2500);
  const double until = fleet_.now() + fleet_.uniform(kMinDuration, kMaxDuration);
  const auto slow_down = [&](Endpoint& endpoint) {
    endpoint.extra_delay = delay;
    fleet_.at(until, [target = &endpoint] { target->extra_delay = 0; });
  };
  slow_down(fleet_.nodes()[random_node()]->endpoint);
  for_some_invokers(kInvokerFraction, [&](std::size_t i) { slow_down(fleet_.invokers()[i]->endpoint); });
}

void RandomFaults::burst() {
  for (int i = 0; i < kBurstChanges; ++i)
    fleet_.change();
}

}  // namespace lotusyard::test
