// The invokers of a hollow fleet: a session and a replica each, and the calls that they have under way.
#include "control/message_codec.h"
#include "scale/hollow_fleet.h"

namespace lotusyard::test {
namespace {

constexpr std::size_t kFirstNodes = 3;   // so many each invoker knows when it starts
constexpr double kLeastTickWait = 0.01;  // a clock's rounding must not stop virtual time, milliseconds
constexpr double kLongestTickWait = 3.6e6;

}  // namespace

template <typename Call>
void HollowFleet::call_invoker(HollowInvoker& invoker, const Call& call) {
  const Millis local = invoker.clock.local(now());
  invoker.cpu.start();
  call(*invoker.session, local);
  invoker.cpu.stop();
  note_moves(invoker);
  note_session(invoker);
  dispatch(invoker);
  schedule_tick(invoker);
}

void HollowFleet::note_moves(HollowInvoker& invoker) {
  for (const auto& move : std::exchange(invoker.moves, {})) {
    const Index before = std::exchange(invoker.position, move.position);
    count_calls(invoker, before);
    for (FleetObserver* observer : observers_)
      observer->moved(invoker, before, move, now());
  }
}

void HollowFleet::note_session(HollowInvoker& invoker) {
  const Millis before = std::exchange(invoker.lease_until, invoker.session->lease_until());
  if (invoker.lease_until < before)
    leave_calls(invoker, invoker.clock.truth(before));
  if (invoker.lease_until > before) {
    for (FleetObserver* observer : observers_)
      observer->leased(invoker, before, now());
  }
  const bool was_open = std::exchange(invoker.was_open, invoker.session->open());
  if (!was_open && invoker.was_open) {
    for (FleetObserver* observer : observers_)
      observer->opened(invoker, now());
  }
}

// What began before a move ends within the last call after it; only then is the new index settled.
void HollowFleet::count_calls(HollowInvoker& invoker, Index before) {
  while (!invoker.calls.empty() && invoker.calls.front().until <= now())
    invoker.calls.pop_front();
  double settled_at = now();
  if (invoker.lease_until.count() > 0) {
    const double began = std::min(now(), invoker.lease_end());
    const double longest = invoker.clock.true_span(options_.terms.max_attempt_time);
    invoker.calls.push_back({before, began + uniform(0, longest)});
  }
  for (const auto& calls : invoker.calls)
    settled_at = std::max(settled_at, calls.until);
  const auto settle = [target = &invoker, incarnation = invoker.incarnation, position = invoker.position] {
    if (target->up() && target->incarnation == incarnation)
      target->session->set_quiesced_index(position);
  };
  if (settled_at <= now())
    return settle();
  at(settled_at, settle);
}

void HollowFleet::schedule_tick(HollowInvoker& invoker) {
  const double wait = invoker.clock.truth(invoker.session->due()) - now();
  const double when = now() + std::clamp(wait, kLeastTickWait, kLongestTickWait);
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
  if (invoker.session->due() > invoker.clock.local(now()))
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
  for (std::size_t i = 0; i < kFirstNodes; ++i)
    config.nodes.push_back(nodes_[below(nodes_.size())]->address);
  invoker.replica = std::make_unique<control::Replica>();
  invoker.replica->set_update_listener([target = &invoker](const control::Change* change) {
    target->moves.push_back({target->replica->position(), change == nullptr});
  });
  invoker.session = std::make_unique<control::Session>(config, invoker, *invoker.replica, invoker.counters,
                                                       random_(), invoker.clock.local(now()));
  call_invoker(invoker, [](control::Session& session, Millis local) { session.tick(local); });
}

// Calls that began under a lease which is given up stay at their hosts for a while.
void HollowFleet::leave_calls(HollowInvoker& invoker, double lease_end) {
  if (lease_end <= 0)
    return;
  const double longest = invoker.clock.true_span(options_.terms.max_attempt_time);
  invoker.calls.push_back({invoker.position, std::min(now(), lease_end) + longest});
}

void HollowFleet::kill_invoker(std::size_t number) {
  HollowInvoker& invoker = *invokers_[number];
  if (!invoker.up())
    return;
  leave_calls(invoker, invoker.lease_end());
  HollowConnection* connection = network_.find(invoker.connection);
  if (connection != nullptr)
    network_.end(*connection, Direction::to_node);
  invoker.connection = 0;
  invoker.session.reset();
  invoker.replica.reset();
  invoker.outbox.clear();
  invoker.moves.clear();
  invoker.while_stopped.clear();
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
    const bool ticks_first = below(2) == 0;
    if (ticks_first)
      tick(number);
    for (auto& late : std::exchange(target->while_stopped, {}))
      late();
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
  invoker.while_stopped.push_back([this, target = &invoker, id = connection.id, late = std::move(packet)] {
    handle_at_invoker(*target, id, late);
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
