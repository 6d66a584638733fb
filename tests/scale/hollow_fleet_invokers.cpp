// The invokers of a hollow fleet: each has a session, a replica and calls in flight.
#include "control/message_codec.h"
#include "scale/hollow_fleet.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kConfiguredNodes = 3;  // number of nodes configured at each invoker's start
constexpr double kMinTickWait = 0.01;        // milliseconds; rounding must not stop virtual time
constexpr double kMaxTickWait = 3.6e6;

}  // namespace

template <typename Call>
void HollowFleet::call_invoker(HollowInvoker& invoker, const Call& call) {
  const Millis local = invoker.clock.local_time(now());
  invoker.cpu.start();
  call(*invoker.session, local);
  invoker.cpu.stop();
  notify_moves(invoker);
  notify_session_changes(invoker);
  dispatch(invoker);
  schedule_tick(invoker);
}

void HollowFleet::notify_moves(HollowInvoker& invoker) {
  for (const auto& move : std::exchange(invoker.moves, {})) {
    const Index before = std::exchange(invoker.position, move.position);
    track_calls(invoker, before);
    for (FleetObserver* observer : observers_)
      observer->on_move(invoker, before, move, now());
  }
}

void HollowFleet::notify_session_changes(HollowInvoker& invoker) {
  const Millis before = std::exchange(invoker.lease_until, invoker.session->lease_until());
  if (invoker.lease_until < before)
    add_abandoned_calls(invoker, invoker.clock.true_time(before));
  if (invoker.lease_until > before) {
    for (FleetObserver* observer : observers_)
      observer->on_lease(invoker, before, now());
  }
  const bool was_open = std::exchange(invoker.was_open, invoker.session->open());
  if (!was_open && invoker.was_open) {
    for (FleetObserver* observer : observers_)
      observer->on_session_opened(invoker, now());
  }
}

// Calls started before a move end at most one attempt time after it; only then is the new index quiesced.
void HollowFleet::track_calls(HollowInvoker& invoker, Index before) {
  while (!invoker.calls.empty() && invoker.calls.front().until <= now())
    invoker.calls.pop_front();
  double quiesced_at = now();
  if (invoker.lease_until.count() > 0) {
    const double latest_start = std::min(now(), invoker.lease_end());
    const double longest = invoker.clock.true_duration(options_.terms.max_attempt_time);
    invoker.calls.push_back({before, latest_start + uniform(0, longest)});
  }
  for (const auto& calls : invoker.calls)
    quiesced_at = std::max(quiesced_at, calls.until);
  const auto report_quiesced = [target = &invoker, incarnation = invoker.incarnation,
                                position = invoker.position] {
    if (target->up() && target->incarnation == incarnation)
      target->session->set_quiesced_index(position);
  };
  if (quiesced_at <= now())
    return report_quiesced();
  at(quiesced_at, report_quiesced);
}

void HollowFleet::schedule_tick(HollowInvoker& invoker) {
  const double wait = invoker.clock.true_time(invoker.session->due()) - now();
  const double when = now() + std::clamp(wait, kMinTickWait, kMaxTickWait);
  if (when >= invoker.tick_at)
    return;
  invoker.tick_at = when;
  at(when, [this, target = &invoker, incarnation = invoker.incarnation, when] {
    if (!target->up() || target->incarnation != incarnation || target->tick_at != when)
      return;
    target->tick_at = kNever;
    if (!target->stopped)
      tick(target->endpoint.number);
  });
}

void HollowFleet::tick(std::size_t number) {
  HollowInvoker& invoker = *invokers_[number];
  if (invoker.session->due() > invoker.clock.local_time(now()))
    return schedule_tick(invoker);
  call_invoker(invoker, [](control::Session& session, Millis local) { session.tick(local); });
}

void HollowFleet::dispatch(HollowInvoker& invoker) {
  for (auto& out : std::exchange(invoker.outbox, {})) {
    HollowConnection* connection = network_.find(invoker.connection);
    if (out.kind == HollowInvoker::Outgoing::Kind::connect) {
      connect(invoker, out.text);
    } else if (out.kind == HollowInvoker::Outgoing::Kind::disconnect) {
      if (connection != nullptr)
        network_.end(*connection, Direction::to_node);
      invoker.connection = 0;
    } else if (connection != nullptr) {
      ++invoker.traffic.messages_sent;
      invoker.traffic.bytes_sent += out.text.size();
      Packet packet;
      packet.frame = std::move(out.text);
      network_.send(*connection, Direction::to_node, std::move(packet));
    }
  }
}

void HollowFleet::connect(HollowInvoker& invoker, const std::string& address) {
  const HollowNode& node = *nodes_.at(node_by_address_.at(address));
  HollowConnection& connection = network_.open(invoker.endpoint, invoker.incarnation, node.endpoint);
  invoker.connection = connection.id;
  invoker.reader = control::MessageReader(control::kMaxFrameBytesToInvoker);
  Packet first;
  first.kind = Packet::Kind::connect;
  network_.send(connection, Direction::to_node, std::move(first));
}

void HollowFleet::start_invoker(std::size_t number) {
  HollowInvoker& invoker = *invokers_[number];
  if (invoker.up())
    return;
  ++invoker.incarnation;
  invoker.stopped = invoker.was_open = false;
  invoker.connection = invoker.position = 0;
  invoker.lease_until = Millis(0);
  invoker.tick_at = kNever;
  control::Session::Config config;
  config.cluster = "hollow";
  config.invoker = "invoker-" + std::to_string(number);
  config.zone = "zone-" + std::to_string(invoker.endpoint.zone);
  config.region = "region-" + std::to_string(invoker.endpoint.region);
  config.incarnation = random_();
  config.terms = options_.terms;
  config.pacing = options_.pacing;
  for (std::size_t i = 0; i < kConfiguredNodes; ++i)
    config.nodes.push_back(nodes_[random_below(nodes_.size())]->address);
  invoker.replica = std::make_unique<control::Replica>();
  invoker.replica->set_update_listener([target = &invoker](const control::Change* change) {
    target->moves.push_back({target->replica->position(), change == nullptr});
  });
  invoker.session = std::make_unique<control::Session>(config, invoker, *invoker.replica, invoker.counters,
                                                       random_(), invoker.clock.local_time(now()));
  call_invoker(invoker, [](control::Session& session, Millis local) { session.tick(local); });
}

// Calls started under a lease that was given up stay in flight at their hosts until they end.
void HollowFleet::add_abandoned_calls(HollowInvoker& invoker, double lease_end) {
  if (lease_end <= 0)
    return;
  const double longest = invoker.clock.true_duration(options_.terms.max_attempt_time);
  invoker.calls.push_back({invoker.position, std::min(now(), lease_end) + longest});
}

void HollowFleet::kill_invoker(std::size_t number) {
  HollowInvoker& invoker = *invokers_[number];
  if (!invoker.up())
    return;
  add_abandoned_calls(invoker, invoker.lease_end());
  HollowConnection* connection = network_.find(invoker.connection);
  if (connection != nullptr)
    network_.end(*connection, Direction::to_node);
  invoker.connection = 0;
  invoker.session.reset();
  invoker.replica.reset();
  invoker.outbox.clear();
  invoker.moves.clear();
  invoker.deferred_while_stopped.clear();
}

void HollowFleet::close_invoker(std::size_t number) {
  HollowInvoker& invoker = *invokers_[number];
  if (!invoker.up() || invoker.stopped)
    return;
  call_invoker(invoker, [](control::Session& session, Millis local) { session.close(local); });
  kill_invoker(number);
}

void HollowFleet::stop_invoker(std::size_t number, double span) {
  HollowInvoker& invoker = *invokers_[number];
  if (!invoker.up() || invoker.stopped)
    return;
  invoker.stopped = true;
  at(now() + span, [this, target = &invoker, number, incarnation = invoker.incarnation] {
    if (target->incarnation != incarnation || !target->up())
      return;
    target->stopped = false;
    const bool ticks_first = random_below(2) == 0;
    if (ticks_first)
      tick(number);
    for (auto& deferred : std::exchange(target->deferred_while_stopped, {}))
      deferred();
    if (target->up())
      tick(number);
  });
}

void HollowFleet::arrived_at_invoker(HollowConnection& connection, Packet&& packet) {
  HollowInvoker& invoker = *invokers_[connection.invoker->number];
  const std::size_t size = packet.frame.size(), send_buffer = network_.capacity().send_buffer;
  if (connection.unread < send_buffer && connection.unread + size >= send_buffer) {
    at(now() + connection.latency,
       [this, node = connection.node->number, id = connection.id] { became_writable(node, id); });
  }
  if (!invoker.up() || invoker.connection != connection.id || packet.kind == Packet::Kind::lost)
    return;
  if (!invoker.stopped)
    return handle_at_invoker(invoker, connection.id, packet);
  invoker.deferred_while_stopped.push_back(
      [this, target = &invoker, id = connection.id, deferred = std::move(packet)] {
        handle_at_invoker(*target, id, deferred);
      });
}

void HollowFleet::handle_at_invoker(HollowInvoker& invoker, std::uint64_t connection, const Packet& packet) {
  if (invoker.connection != connection)
    return;
  invoker.node_lease_end = packet.node_lease_end;
  if (packet.kind == Packet::Kind::accepted)
    return call_invoker(invoker,
                        [](control::Session& session, Millis local) { session.on_connected(local); });
  if (packet.kind == Packet::Kind::end) {
    invoker.connection = 0;
    return call_invoker(invoker,
                        [](control::Session& session, Millis local) { session.on_disconnected(local); });
  }
  ++invoker.traffic.messages_received;
  invoker.traffic.bytes_received += packet.frame.size();
  call_invoker(invoker, [&](control::Session& session, Millis local) {
    std::vector<control::Message> messages;
    if (!invoker.reader.parse(packet.frame, messages))
      return session.on_malformed(local);
    for (auto& message : messages)
      session.on_message(std::move(message), local);
  });
}

}  // namespace lotusyard::test
