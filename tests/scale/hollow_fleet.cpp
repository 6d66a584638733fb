#include "scale/hollow_fleet.h"

namespace lotusyard::test {
namespace {

constexpr double kLeaderInterval = 100;  // milliseconds between the leader's appends of received reports
constexpr double kClockSpread = 1e6;     // range of the clocks' offsets, milliseconds
constexpr std::size_t kKeyBytes = 12;

std::string key_of(std::size_t number) {
  std::string out = std::to_string(number);
  return "record." + std::string(kKeyBytes > out.size() + 7 ? kKeyBytes - out.size() - 7 : 0, '0') + out;
}

control::Records initial_records(const FleetOptions& options) {
  control::Records out;
  for (std::size_t i = 0; i < options.records; ++i)
    out.emplace_hint(out.end(), key_of(i), std::string(options.value_bytes, 'x'));
  return out;
}

}  // namespace

HollowFleet::HollowFleet(const FleetOptions& options)
    : options_(options),
      random_(options.seed),
      network_(queue_, options.capacity, options.seed + 1),
      log_(initial_records(options), options.keeps_states),
      leader_(options.terms),
      leader_clock_(draw_clock()) {
  network_.set_arrival_handler([this](HollowConnection& connection, Direction direction, Packet&& packet) {
    if (direction == Direction::to_node) {
      arrived_at_node(connection, std::move(packet));
    } else {
      arrived_at_invoker(connection, std::move(packet));
    }
  });
  for (std::size_t i = 0; i < options.nodes; ++i)
    add_node(i);
  for (std::size_t i = 0; i < options.nodes; ++i)
    start_node(i);
  for (std::size_t i = 0; i < options.invokers; ++i)
    add_invoker(i);
  for (std::size_t i = 0; i < options.invokers; ++i)
    at(uniform(0, options.start_spread), [this, i] { start_invoker(i); });
  at(kLeaderInterval, [this] { run_leader(); });
}

DriftingClock HollowFleet::draw_clock() {
  return DriftingClock(uniform(kClockSpread, 2 * kClockSpread), uniform(1, 1 + options_.terms.clock_drift));
}

void HollowFleet::add_node(std::size_t number) {
  Endpoint where;
  where.kind = ProcessKind::node;
  where.number = number;
  where.zone = static_cast<int>(number) % options_.zones;
  where.region = where.zone % options_.regions;
  nodes_.push_back(std::make_unique<HollowNode>(network_, where, draw_clock()));
  const std::string name = "node-" + std::to_string(number);
  nodes_.back()->address = {name, "10.0.0." + std::to_string(number + 1) + ":7800",
                            "zone-" + std::to_string(where.zone), "region-" + std::to_string(where.region)};
  node_by_address_[nodes_.back()->address.address] = number;
}

void HollowFleet::add_invoker(std::size_t number) {
  Endpoint where;
  where.kind = ProcessKind::invoker;
  where.number = number;
  where.zone = static_cast<int>(random_below(static_cast<std::size_t>(options_.zones)));
  where.region = where.zone % options_.regions;
  invokers_.push_back(std::make_unique<HollowInvoker>(where, draw_clock()));
}

const LogEntry& HollowFleet::append_entry(control::Change change, std::vector<NodeReport> reports) {
  const LogEntry& entry = log_.append(now(), std::move(change), std::move(reports));
  for (auto& node : nodes_) {
    if (!network_.is_reachable(log_site_, node->endpoint))
      continue;
    const double delay = network_.latency(log_site_, node->endpoint) + node->endpoint.extra_delay;
    at(now() + delay, [this, target = node.get(), index = entry.index] { apply_until(*target, index); });
  }
  return entry;
}

void HollowFleet::run_leader() {
  at(now() + kLeaderInterval, [this] { run_leader(); });
  std::vector<NodeReport> reports = leader_.take_pending();
  if (!reports.empty()) {
    const LogEntry& entry = append_entry({}, std::move(reports));
    leader_.on_committed(entry.reports, leader_clock_.local_time(now()));
  }
  const Proof proof = leader_.prove(log_.last(), leader_clock_.local_time(now()));
  for (FleetObserver* observer : observers_)
    observer->on_proof(proof, now());
}

void HollowFleet::change() {
  control::Change change;
  std::set<std::size_t> chosen;
  const std::size_t one = kKeyBytes + options_.value_bytes + 9;
  for (std::size_t size = 0; size < options_.change_bytes && chosen.size() < options_.records; size += one)
    chosen.insert(random_below(options_.records));
  const auto before = log_.state(log_.last());
  for (const std::size_t number : chosen) {
    const std::string key = key_of(number);
    std::string value = std::to_string(log_.last()) + "." + std::to_string(random_() % 1000);
    value.resize(std::max(value.size(), options_.value_bytes), 'x');
    const bool removes = random_below(10) == 0 && before->count(key) != 0;
    change.push_back({key, removes ? std::nullopt : std::optional<std::string>(std::move(value))});
  }
  append_entry(std::move(change), {});
}

void HollowFleet::changes_each_second(double rate, double until) {
  if (rate <= 0)
    return;
  const double next = now() + std::exponential_distribution<double>(rate / 1000)(random_);
  if (next >= until)
    return;
  at(next, [this, rate, until] {
    change();
    changes_each_second(rate, until);
  });
}

void HollowFleet::heal(int name) {
  network_.heal(name);
  for (auto& node : nodes_) {
    if (!network_.is_reachable(log_site_, node->endpoint))
      continue;
    const double delay = network_.latency(log_site_, node->endpoint);
    at(now() + delay, [this, target = node.get(), index = log_.last()] { apply_until(*target, index); });
  }
}

}  // namespace lotusyard::test
