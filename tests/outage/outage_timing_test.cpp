// Outages combined with starts, stops and reloads of invokers, and with drains, restarts and full hosts.
#include "outage/outage_scenarios.h"

namespace lotusyard::test::outage {
namespace {

TEST_CASE("calls are served throughout a long outage in which no host drains") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  const double before = harness.now();
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(15000));
  CHECK(served_share(harness.history, before, harness.now()) > 0.99);
  harness.end_outage();
  check_recovery(harness);
  harness.finish_calls();
  check_rules(harness, strict_rules());
}

TEST_CASE("the first calls after an idle period are served, long into an outage") {
  HarnessOptions options = short_grace();
  options.connection_idle = 2000;
  OutageHarness harness(options);
  harness.start_all();
  harness.run_for(Millis(500));
  for (auto& invoker : harness.invokers)
    invoker.sends_calls = false;
  harness.begin_outage(OutageForm::silent);
  harness.run_for(Millis(9000));
  const double first_call = harness.now();
  for (auto& invoker : harness.invokers)
    invoker.sends_calls = true;
  harness.run_for(Millis(2000));
  harness.finish_calls();
  CHECK(served_share(harness.history, first_call, harness.now()) > 0.95);
  check_rules(harness, strict_rules());
}

TEST_CASE("invokers that start in an outage use the hosts of their configuration") {
  OutageHarness harness(short_grace());
  harness.begin_outage(OutageForm::refused);
  harness.start_all();
  harness.run_for(Millis(1000));
  harness.drain({0, 1});
  harness.run_for(Millis(6000));
  CHECK(served_share(harness.history, 0, harness.now()) > 0.98);
  harness.end_outage();
  check_recovery(harness);
  harness.finish_calls();
  check_rules(harness, strict_rules());
}

TEST_CASE("an invoker that is killed and restarted in an outage serves calls and observes drains") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(3500));
  harness.kill(harness.invokers.front());
  harness.start(harness.invokers.front());
  const double restarted = harness.now();
  harness.drain(harness.busiest(2));
  harness.run_for(Millis(5000));
  CHECK(served_share(harness.history, restarted, harness.now()) > 0.98);
  harness.end_outage();
  harness.finish_calls();
  check_rules(harness, strict_rules());
}

// As in soak seed 109: a configured list must not be valid for as long as one that discovery has confirmed.
TEST_CASE("hosts that drain after an invoker has started in an outage get nothing past the grace") {
  OutageHarness harness(short_grace());
  for (auto& invoker : harness.invokers)
    invoker.sends_calls = false;  // so that no refusal shows the drain
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(2500));
  harness.start_all();
  harness.run_for(Millis(300));
  harness.drain({0, 1, 2, 3, 4});
  harness.run_for(Millis(1200));
  for (auto& invoker : harness.invokers)
    invoker.sends_calls = true;
  harness.run_for(Millis(2000));
  harness.finish_calls();
  CHECK(calls_served_by(harness.history, "h5", 0, harness.now()) > 0);
  check_rules(harness, strict_rules());
}

TEST_CASE("a host that drained and restarted in an outage gets nothing until the list is confirmed") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(200));
  const auto drained = harness.busiest(2);
  harness.drain(drained);
  harness.run_for(Millis(2500));
  harness.remove(drained);
  harness.run_for(Millis(1000));
  harness.restart(drained);
  harness.run_for(Millis(4000));
  for (const std::size_t host : drained)
    CHECK(harness.hosts[host].server->execs == 0);
  harness.end_outage();
  check_recovery(harness);
  harness.finish_calls();
  check_rules(harness, strict_rules());
}

TEST_CASE("drains before an outage, at its start and late in it") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  harness.drain({harness.busiest(1)});
  harness.begin_outage(OutageForm::silent);
  harness.run_for(Millis(100));
  harness.drain({harness.busiest(2).back()});
  harness.run_for(Millis(5000));
  std::size_t ready = 0;
  while (harness.hosts[ready].phase != HostPhase::ready)
    ++ready;
  harness.drain({ready});
  harness.run_for(Millis(3000));
  harness.end_outage();
  check_recovery(harness);
  harness.finish_calls();
  check_rules(harness, strict_rules());
}

TEST_CASE("a process stopped past the notification delay and the grace sends nothing when it resumes") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  harness.begin_outage(OutageForm::silent);
  HarnessInvoker& stopped = harness.invokers.front();
  harness.run_for(Millis(100));
  const auto drained = harness.busiest(2);
  stopped.process->signal(SIGSTOP);
  harness.drain(drained);
  harness.run_for(Millis(5000));
  harness.excuse_open_calls(stopped);
  stopped.process->signal(SIGCONT);
  harness.run_for(Millis(2000));
  harness.end_outage();
  harness.finish_calls();
  // Calls that it read late are answered late, so only these rules are checked.
  CHECK(drain_violations(harness.history, strict_rules()) == std::vector<std::string>());
  CHECK(duplicate_runs(harness.history) == std::vector<std::string>());
}

TEST_CASE("a shutdown during an outage and a drain answers every call") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(200));
  harness.drain(harness.busiest(2));
  harness.run_for(Millis(3000));
  HarnessInvoker& terminating = harness.invokers.front();
  terminating.process->signal(SIGTERM);
  harness.run_for(Millis(300));
  terminating.sends_calls = false;
  CHECK(harness.run_until([&] { return terminating.process->status() >= 0; }, Millis(5000)));
  CHECK(terminating.process->status() == 0);
  terminating.process.reset();
  harness.end_outage();
  harness.finish_calls();
  check_rules(harness, strict_rules());
}

TEST_CASE("a new configuration names a discovery address at which nothing listens") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  harness.begin_outage(OutageForm::silent);
  for (auto& invoker : harness.invokers) {
    harness.write_configuration(invoker, free_address());
    invoker.process->signal(SIGHUP);
  }
  harness.run_for(Millis(300));
  harness.drain(harness.busiest(2));
  harness.run_for(Millis(5000));
  CHECK(served_share(harness.history, 0, harness.now()) > 0.98);
  harness.end_outage();
  for (auto& invoker : harness.invokers) {
    harness.write_configuration(invoker, harness.discovery.address());
    invoker.process->signal(SIGHUP);
  }
  check_recovery(harness);
  harness.finish_calls();
  check_rules(harness, strict_rules());
}

// Settings may forbid health checks. Then only served calls prove that a host takes work, and the rule can be
// kept only with a notification delay that counts from each event.
TEST_CASE("an outage where health checks are not allowed") {
  HarnessOptions options = short_grace();
  options.accepts_probes = false;
  OutageHarness harness(options);
  harness.start_all();
  harness.run_for(Millis(1500));
  const double before = harness.now();
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(300));
  harness.drain(harness.busiest(2));
  harness.run_for(Millis(11000));
  CHECK(served_share(harness.history, before, harness.now()) > 0.95);
  harness.end_outage();
  check_recovery(harness);
  harness.finish_calls();
  check_rules(harness, Rules{kShortGrace});
}

TEST_CASE("hosts that are full at times are not treated as draining in an outage") {
  HarnessOptions options = short_grace();
  int calls = 0;
  options.react = [&calls](std::size_t) {
    return ++calls % 3 == 0 ? Reaction{Reaction::reply, "full", 0} : Reaction();
  };
  OutageHarness harness(options);
  harness.start_all();
  harness.run_for(Millis(1500));
  const double before = harness.now();
  harness.begin_outage(OutageForm::refused);
  harness.run_for(Millis(7000));
  const double share_before = served_share(harness.history, 0, before);
  CHECK(served_share(harness.history, before, harness.now()) > share_before - 0.03);
  harness.finish_calls();
  for (auto& invoker : harness.invokers)
    CHECK(harness.counter(invoker, "hosts.readiness_unhealthy") == 0);
  check_rules(harness, strict_rules());
}

TEST_CASE("hosts that reset their connections in an outage are connected to again") {
  OutageHarness harness(short_grace());
  harness.start_all();
  harness.run_for(Millis(1500));
  const double before = harness.now();
  harness.begin_outage(OutageForm::refused);
  for (int i = 0; i < 12; ++i) {
    harness.run_for(Millis(500));
    for (const auto& peer :
         harness.hosts[static_cast<std::size_t>(i) % harness.hosts.size()].server->server.peers)
      peer->close_later();
  }
  harness.finish_calls();
  CHECK(served_share(harness.history, before, harness.now()) > 0.95);
  check_rules(harness, strict_rules());
}

}  // namespace
}  // namespace lotusyard::test::outage
