// A whole path of triggers, from the stand-in broker to stand-in hosts, and a long seeded run over it.
#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "amqp/front_end.h"
#include "support/invoker_fixture.h"
#include "support/random_input.h"
#include "support/stand_in_broker.h"
#include "support/stand_in_host.h"
#include "support/test_settings.h"

namespace lotusyard::test {

class Triggers {
 public:
  explicit Triggers(std::size_t hosts, std::uint64_t seed = 1, amqp::FrontEnd::Limits limits = {},
                    const core::Settings& s = settings(), idempotency::ResultStore* store = nullptr,
                    std::vector<std::string> before = {}, amqp::Topology topology = {},
                    net::Clocks clocks = net::Clocks::system())
      : world(hosts, s, InvokerFixture::limits(), std::move(clocks)), broker(world.loop, world.pool, seed) {
    amqp::Broker at;
    at.addresses = std::move(before);
    at.addresses.push_back(broker.server.address());
    at.queues = {"calls"};
    at.topology = std::move(topology);
    at.prefetch = 16;
    front = std::make_unique<amqp::FrontEnd>(world.loop, world.pool, world.dispatcher, world.counters, s, at,
                                             limits, store);
    front->start();
  }
  bool answered(const std::string& id, std::size_t times = 1) {
    return world.run_until([&] { return broker.held["c-" + id].size() >= times; }, 20000);
  }
  bool settled() {
    return world.run_until([&] { return broker.queue.empty() && unacked() == 0 && front->done(); }, 200000);
  }
  std::size_t unacked() const {
    std::size_t sum = 0;
    for (const auto& peer : broker.server.peers)
      sum += peer->unacked.size();
    return sum;
  }
  InvokerFixture world;
  StandInBroker broker;
  std::unique_ptr<amqp::FrontEnd> front;
};

// Calls under a broker that drops, redelivers and reorders, at hosts that fail in every way. What came of it
// is counted by the stand-ins alone.
struct Tally {
  std::size_t sent = 0, lost = 0, differing = 0, repeated_runs = 0, dropped = 0, served = 0, after_drain = 0;
  std::size_t drains = 0;
  bool settled = false;
  bool clean() const { return settled && lost + differing + repeated_runs + after_drain == 0; }
  void print(std::ostream& out) const {
    out << "sent " << sent << " served " << served << " connections_dropped " << dropped << " hosts_drained "
        << drains << " duplicate_runs " << repeated_runs << " lost_answers " << lost << " differing_answers "
        << differing << " sent_after_drain " << after_drain << " settled " << settled << std::endl;
  }
};

// Ends after so many calls, or after that time with about a hundred calls a second.
inline Tally chaos_run(std::uint64_t seed, std::size_t calls, Millis most = Millis(0)) {
  core::Settings s = settings();
  for (auto& c : s.classes)
    c.latency_objective = c.deadline = Millis(400);
  Triggers t(3, seed, {}, s);
  t.broker.chaos = {12, 60, 300, 40};
  Random random(seed);
  Tally tally;
  for (std::size_t i = 0; i < t.world.host.size(); ++i) {
    t.world.host[i]->handler = [&, i](const std::string&) {
      const auto& told = t.world.states[i];
      const bool drained = told.state != lotusyard::policy::HostState::ready;
      if (drained && t.world.loop.now() - told.at > s.endpoint_list.drain_grace)
        ++tally.after_drain;
      const std::size_t dice = below(random, 1000);
      if (dice < 10)
        return Reaction{Reaction::silence, ""};
      if (dice < 13)
        return Reaction{Reaction::half, "data"};
      if (dice < 16)
        return Reaction{Reaction::hang_up, ""};
      return Reaction{Reaction::reply, dice < 40   ? "absent"
                                       : dice < 60 ? "full"
                                       : dice < 80 ? "failed"
                                                   : "data"};
    };
  }
  const Millis began = t.world.loop.now();
  std::vector<std::string> records;
  std::size_t next_drain = 40, next_drop = 30;
  while (tally.sent < calls) {
    const Millis past = t.world.loop.now() - began;
    if (most.count() > 0 && past >= most)
      break;
    const auto due = most.count() > 0 ? static_cast<std::size_t>(past.count() / 10) : calls;
    for (int i = 0; i < 4 && tally.sent < due && t.broker.queue.size() < 8; ++i) {
      const bool record = below(random, 3) == 0;
      const std::string id = "m" + std::to_string(tally.sent++);
      t.broker.send(id, record ? "bin-record" : "bin-check", "bin of " + id);
      if (record)
        records.push_back("bin of " + id);
    }
    t.world.turn();
    // A short run must not depend on chance for its drops; a long one has them at any moment.
    if (most.count() > 0 ? below(random, 2000) == 0 : tally.sent >= next_drop) {
      next_drop += 30;
      t.broker.drop_all();
    }
    if (tally.sent < next_drain)
      continue;
    // One host drains at a time, and comes back reborn when the next one goes.
    next_drain += 100;
    const std::size_t back = tally.drains++ % t.world.host.size();
    t.world.tell(lotusyard::policy::HostState::ready, t.world.loop.now().count(), back);
    t.world.tell(lotusyard::policy::HostState::draining, 0, tally.drains % t.world.host.size());
  }
  tally.settled = t.settled();
  for (std::size_t i = 0; i < tally.sent; ++i) {
    const auto& held = t.broker.held["c-m" + std::to_string(i)];
    if (held.empty())
      ++tally.lost;
    for (const auto& answer : held) {
      if (word_of(answer) != word_of(held.front()) || answer.body != held.front().body)
        ++tally.differing;
    }
    if (!held.empty() && word_of(held.front()) == "OK")
      ++tally.served;
  }
  for (const auto& body : records) {
    int runs = 0;
    for (const auto& host : t.world.host)
      runs += host->runs.count(body) == 0 ? 0 : host->runs.at(body);
    if (runs > 1)
      ++tally.repeated_runs;
  }
  tally.dropped = t.broker.dropped;
  return tally;
}

}  // namespace lotusyard::test
