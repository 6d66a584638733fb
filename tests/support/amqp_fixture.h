// An invoker with its AMQP front end between a stand-in broker and stand-in hosts, and a seeded run with
// random faults over it.
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

class AmqpFixture {
 public:
  explicit AmqpFixture(std::size_t hosts, std::uint64_t seed = 1, amqp::FrontEnd::Limits limits = {},
                       const core::Settings& s = settings(), idempotency::ResultStore* store = nullptr,
                       std::vector<std::string> earlier_addresses = {}, amqp::Topology topology = {},
                       net::Clocks clocks = net::Clocks::system())
      : invoker(hosts, s, InvokerFixture::limits(), std::move(clocks)),
        broker(invoker.loop, invoker.pool, seed) {
    amqp::Broker broker_settings;
    broker_settings.addresses = std::move(earlier_addresses);
    broker_settings.addresses.push_back(broker.server.address());
    broker_settings.queues = {"calls"};
    broker_settings.topology = std::move(topology);
    broker_settings.prefetch = 16;
    front_end = std::make_unique<amqp::FrontEnd>(invoker.loop, invoker.pool, invoker.dispatcher,
                                                 invoker.counters, s, broker_settings, limits, store);
    front_end->start();
  }
  bool wait_for_answer(const std::string& id, std::size_t times = 1) {
    return invoker.run_until([&] { return broker.answers_by_id["c-" + id].size() >= times; }, 20000);
  }
  bool wait_until_settled() {
    return invoker.run_until([&] { return broker.queue.empty() && unacked() == 0 && front_end->done(); },
                             200000);
  }
  std::size_t unacked() const {
    std::size_t sum = 0;
    for (const auto& peer : broker.server.peers)
      sum += peer->unacked.size();
    return sum;
  }
  InvokerFixture invoker;
  StandInBroker broker;
  std::unique_ptr<amqp::FrontEnd> front_end;
};

// The result of a run with a broker that drops, redelivers and reorders calls, and with hosts that fail in
// every way. Counted by the stand-ins alone.
struct ChaosResult {
  std::size_t sent = 0;
  std::size_t lost = 0;           // calls without an answer
  std::size_t differing = 0;      // answers that differ from the first one of their call
  std::size_t repeated_runs = 0;  // non-idempotent calls that ran more than once
  std::size_t dropped = 0;        // connections that the broker dropped
  std::size_t served = 0;
  std::size_t after_drain = 0;  // calls that a host received after its drain grace
  std::size_t drains = 0;       // how many times a host began to drain
  bool settled = false;

  bool clean() const { return settled && lost + differing + repeated_runs + after_drain == 0; }
  void print(std::ostream& out) const {
    out << "sent " << sent << " served " << served << " connections_dropped " << dropped << " hosts_drained "
        << drains << " duplicate_runs " << repeated_runs << " lost_answers " << lost << " differing_answers "
        << differing << " sent_after_drain " << after_drain << " settled " << settled << std::endl;
  }
};

// Ends after `calls` calls, or after `duration` if it is not 0, at about a hundred calls a second.
ChaosResult chaos_run(std::uint64_t seed, std::size_t calls, Millis duration = Millis(0));

}  // namespace lotusyard::test
