#include "scale/random_faults.h"

namespace lotusyard::test {
namespace {

constexpr double kShortest = 500, kLongest = 14000;  // of a cut or a stop, milliseconds
constexpr double kQuickRestart = 1500;
constexpr double kShareOfInvokers = 0.1;
constexpr int kBurst = 20;

}  // namespace

void RandomFaults::begin(double until, double pause) {
  const double next = fleet_.now() + fleet_.uniform(0.5, 1.5) * pause;
  if (next >= until)
    return;
  fleet_.at(next, [this, until, pause] {
    strike();
    begin(until, pause);
  });
}

void RandomFaults::strike() {
  switch (fleet_.below(14)) {
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
void RandomFaults::some_invokers(double share, const Fault& fault) {
  for (std::size_t i = 0; i < fleet_.invokers().size(); ++i) {
    if (fleet_.uniform(0, 1) < share)
      fault(i);
  }
}

void RandomFaults::kill_node(bool resets) {
  const std::size_t node = some_node();
  const double longest = fleet_.below(2) == 0 ? kQuickRestart : kLongest;
  fleet_.kill_node(node, resets);
  fleet_.at(fleet_.now() + fleet_.uniform(kShortest, longest), [this, node] { fleet_.start_node(node); });
}

// As by a fault that all of them have, while some invokers are cut off and keep their leases for a while.
void RandomFaults::restart_all_nodes() {
  cut_invokers_from_nodes();
  for (std::size_t node = 0; node < fleet_.nodes().size(); ++node) {
    fleet_.kill_node(node, fleet_.below(2) == 0);
    fleet_.at(fleet_.now() + fleet_.uniform(kShortest, kQuickRestart), [this, node] {
      fleet_.start_node(node);
      fleet_.change();
    });
  }
}

void RandomFaults::drain_node() {
  const std::size_t node = some_node();
  fleet_.drain_node(node);
  fleet_.at(fleet_.now() + fleet_.uniform(6000, kLongest), [this, node] { fleet_.start_node(node); });
}

void RandomFaults::stop_node() { fleet_.stop_node(some_node(), fleet_.uniform(kShortest, kLongest)); }

void RandomFaults::stop_invokers() {
  const double span = fleet_.uniform(kShortest, kLongest);
  some_invokers(kShareOfInvokers, [&](std::size_t i) { fleet_.stop_invoker(i, span); });
}

void RandomFaults::kill_invokers() {
  some_invokers(kShareOfInvokers, [&](std::size_t i) {
    fleet_.kill_invoker(i);
    fleet_.at(fleet_.now() + fleet_.uniform(0, kLongest), [this, i] { fleet_.start_invoker(i); });
  });
}

void RandomFaults::close_invokers() {
  some_invokers(kShareOfInvokers, [&](std::size_t i) {
    fleet_.close_invoker(i);
    fleet_.at(fleet_.now() + fleet_.uniform(0, kLongest), [this, i] { fleet_.start_invoker(i); });
  });
}

void RandomFaults::both_or_one_way(Cut& cut) {
  const std::size_t ways = fleet_.below(4);
  cut.outward = ways != 0;
  cut.inward = ways != 1;
}

void RandomFaults::cut_for(Cut cut, double span) {
  const int name = ++last_cut_;
  fleet_.cut(name, std::move(cut));
  fleet_.at(fleet_.now() + span, [this, name] { fleet_.heal(name); });
}

void RandomFaults::cut_zone() {
  Cut cut;
  const int zone = static_cast<int>(fleet_.below(static_cast<std::size_t>(fleet_.options().zones)));
  cut.inside = [zone](const Endpoint& endpoint) { return endpoint.zone == zone; };
  both_or_one_way(cut);
  cut_for(std::move(cut), fleet_.uniform(kShortest, kLongest));
}

void RandomFaults::cut_region() {
  Cut cut;
  const int region = static_cast<int>(fleet_.below(static_cast<std::size_t>(fleet_.options().regions)));
  cut.inside = [region](const Endpoint& endpoint) { return endpoint.region == region; };
  both_or_one_way(cut);
  cut_for(std::move(cut), fleet_.uniform(kShortest, kLongest));
}

// Its invokers still reach it.
void RandomFaults::cut_node_from_log() {
  const std::size_t node = some_node();
  Cut cut;
  cut.inside = [node](const Endpoint& endpoint) {
    return endpoint.kind == ProcessKind::node && endpoint.number == node;
  };
  cut.outside = [](const Endpoint& endpoint) { return endpoint.kind == ProcessKind::log; };
  both_or_one_way(cut);
  cut_for(std::move(cut), fleet_.uniform(kShortest, kLongest));
}

void RandomFaults::cut_invokers_from_nodes() {
  const std::size_t parts = 4, part = fleet_.below(parts);
  Cut cut;
  cut.inside = [=](const Endpoint& endpoint) {
    return endpoint.kind == ProcessKind::invoker && endpoint.number % parts == part;
  };
  both_or_one_way(cut);
  cut_for(std::move(cut), fleet_.uniform(kShortest, kLongest));
}

void RandomFaults::delay_some() {
  const double delay = fleet_.uniform(100, 2500);
  const double until = fleet_.now() + fleet_.uniform(kShortest, kLongest);
  const auto slow_down = [&](Endpoint& endpoint) {
    endpoint.extra_delay = delay;
    fleet_.at(until, [target = &endpoint] { target->extra_delay = 0; });
  };
  slow_down(fleet_.nodes()[some_node()]->endpoint);
  some_invokers(kShareOfInvokers, [&](std::size_t i) { slow_down(fleet_.invokers()[i]->endpoint); });
}

void RandomFaults::burst() {
  for (int i = 0; i < kBurst; ++i)
    fleet_.change();
}

}  // namespace lotusyard::test
