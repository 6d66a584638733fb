// The decisions of a graceful shutdown, by time since SIGTERM and by what is open, without a process.
#include "app/graceful_shutdown.h"

#include <catch2/catch.hpp>

namespace lotusyard::test {
namespace {

using core::Millis;
using Command = ShutdownCommand;
using Commands = std::vector<ShutdownCommand>;

constexpr Millis kSigterm{1700000000000.0};
constexpr Millis kLongestDeadline{1280};

// The time of an iteration, and what its commands find.
struct Iteration {
  Millis since_sigterm{0};
  Millis longest_deadline = kLongestDeadline;
  bool connections_open = false;
  bool client_input_found = false;
};

// Runs one iteration; returns its commands, the last of which is `wait` or `exit`.
Commands run(GracefulShutdown& shutdown, const Iteration& iteration, ShutdownFacts facts = {}) {
  shutdown.begin_iteration(kSigterm + iteration.since_sigterm, iteration.longest_deadline);
  Commands commands;
  do {
    commands.push_back(shutdown.next(facts));
    if (commands.back() == Command::hand_off_connections)
      facts.connections_open = iteration.connections_open;
    if (commands.back() == Command::read_client_input)
      facts.client_input_found = iteration.client_input_found;
  } while (commands.back() != Command::wait && commands.back() != Command::exit);
  return commands;
}

Iteration at(double since_sigterm_ms) {
  Iteration iteration;
  iteration.since_sigterm = Millis(since_sigterm_ms);
  return iteration;
}

ShutdownFacts with_calls_open() {
  ShutdownFacts facts;
  facts.calls_open = true;
  return facts;
}

GracefulShutdown begin_shutdown(ListenerOwnership ownership) {
  GracefulShutdown shutdown(ownership);
  shutdown.begin(kSigterm, true);
  return shutdown;
}

const Commands kLastRead{Command::answer_open_calls, Command::read_client_input};

Commands operator+(Commands first, const Commands& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

TEST_CASE("a shutdown begins once, with the commands that its listener needs") {
  GracefulShutdown alone(ListenerOwnership::own);
  CHECK_FALSE(alone.has_begun());
  CHECK(alone.begin(kSigterm, false) ==
        Commands{Command::report_not_serving, Command::drain_triggers, Command::drain_extension});
  CHECK(alone.has_begun());

  GracefulShutdown beside_other(ListenerOwnership::shared);
  CHECK(beside_other.begin(kSigterm, true) == Commands{Command::stop_listening, Command::enter_draining_role,
                                                       Command::drain_triggers, Command::drain_extension});
  GracefulShutdown after_other(ListenerOwnership::shared);
  CHECK(after_other.begin(kSigterm, false) ==
        Commands{Command::stop_listening, Command::drain_triggers, Command::drain_extension});
}

TEST_CASE("own listener: it accepts for 0.5 s and serves for 0.8 s, even with nothing open") {
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::own);
  CHECK(run(shutdown, at(-1)) == Commands{Command::wait});
  CHECK(run(shutdown, at(500)) == Commands{Command::wait});
  CHECK(run(shutdown, at(500.5)) == Commands{Command::stop_listening, Command::wait});
  CHECK(run(shutdown, at(800)) == Commands{Command::stop_listening, Command::wait});
  CHECK(run(shutdown, at(800.5)) == Commands{Command::stop_listening} + kLastRead + Commands{Command::exit});
}

TEST_CASE("shared listener: it hands off from the beginning, and admits calls for 0.4 s") {
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::shared);
  Iteration iteration = at(0);
  iteration.connections_open = true;
  const Commands handing_off{Command::hand_off_connections, Command::wait};
  CHECK(run(shutdown, iteration) == handing_off);
  iteration.since_sigterm = Millis(400);
  CHECK(run(shutdown, iteration) == handing_off);
  iteration.since_sigterm = Millis(400.5);
  CHECK(run(shutdown, iteration) == Commands{Command::stop_admitting} + handing_off);
  iteration.connections_open = false;
  CHECK(run(shutdown, iteration) == Commands{Command::stop_admitting, Command::hand_off_connections} +
                                        kLastRead + Commands{Command::exit});
}

TEST_CASE("shared listener: it exits at once if no connection is open") {
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::shared);
  CHECK(run(shutdown, at(0)) ==
        Commands{Command::hand_off_connections} + kLastRead + Commands{Command::exit});
}

TEST_CASE("nothing may be open at the exit: calls, answers, deliveries, admin requests") {
  ShutdownFacts facts;
  SECTION("a call") { facts.calls_open = true; }
  SECTION("an answer") { facts.answers_undelivered = true; }
  SECTION("a delivery") { facts.triggers_pending = true; }
  SECTION("a request to the admin endpoint") { facts.admin_requests_pending = true; }
  GracefulShutdown alone = begin_shutdown(ListenerOwnership::own);
  CHECK(run(alone, at(900), facts) == Commands{Command::stop_listening, Command::wait});
  GracefulShutdown beside_other = begin_shutdown(ListenerOwnership::shared);
  CHECK(run(beside_other, at(100), facts) == Commands{Command::hand_off_connections, Command::wait});
}

TEST_CASE("calls that are answered or arrive while listening stops count only from the next iteration") {
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::own);
  shutdown.begin_iteration(kSigterm + Millis(900), kLongestDeadline);
  CHECK(shutdown.next(with_calls_open()) == Command::stop_listening);
  CHECK(shutdown.next({}) == Command::wait);
  shutdown.begin_iteration(kSigterm + Millis(920), kLongestDeadline);
  CHECK(shutdown.next({}) == Command::stop_listening);
  CHECK(shutdown.next(with_calls_open()) == Command::answer_open_calls);
}

TEST_CASE("what clients sent just before the exit is answered first") {
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::own);
  Iteration iteration = at(900);
  iteration.client_input_found = true;
  const Commands last_read = Commands{Command::stop_listening} + kLastRead;
  CHECK(run(shutdown, iteration) == last_read + Commands{Command::wait});
  CHECK(run(shutdown, at(920)) == last_read + Commands{Command::exit});
}

TEST_CASE("an answer that the last read left unwritten delays the exit") {
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::shared);
  shutdown.begin_iteration(kSigterm, kLongestDeadline);
  CHECK(shutdown.next({}) == Command::hand_off_connections);
  CHECK(shutdown.next({}) == Command::answer_open_calls);
  CHECK(shutdown.next({}) == Command::read_client_input);
  ShutdownFacts unwritten;
  unwritten.answers_undelivered = true;
  CHECK(shutdown.next(unwritten) == Command::wait);
}

// SIGKILL comes 0.7 s after the longest deadline.
TEST_CASE("open calls are answered 0.6 s after the longest deadline, and the process exits 60 ms later") {
  const ShutdownFacts facts = with_calls_open();
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::own);
  CHECK(run(shutdown, at(1880), facts) == Commands{Command::stop_listening, Command::wait});
  const Commands answering{Command::answer_open_calls, Command::stop_listening};
  CHECK(run(shutdown, at(1880.5), facts) == answering + Commands{Command::wait});
  CHECK(run(shutdown, at(1940), facts) == answering + Commands{Command::wait});
  CHECK(run(shutdown, at(1940.5), facts) == answering + Commands{Command::exit});
  CHECK(shutdown.next(facts) == Command::exit);

  GracefulShutdown beside_other = begin_shutdown(ListenerOwnership::shared);
  CHECK(run(beside_other, at(1940.5), facts) == Commands{Command::answer_open_calls, Command::stop_admitting,
                                                         Command::hand_off_connections, Command::exit});
}

TEST_CASE("the longest deadline counts as 3 s at most") {
  const ShutdownFacts facts = with_calls_open();
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::own);
  Iteration iteration = at(3600);
  iteration.longest_deadline = Millis(9000);
  CHECK(run(shutdown, iteration, facts) == Commands{Command::stop_listening, Command::wait});
  iteration.since_sigterm = Millis(3660.5);
  CHECK(run(shutdown, iteration, facts).back() == Command::exit);
}

TEST_CASE("a shorter deadline after a reload brings the answers forward") {
  const ShutdownFacts facts = with_calls_open();
  GracefulShutdown shutdown = begin_shutdown(ListenerOwnership::own);
  Iteration iteration = at(1200);
  CHECK(run(shutdown, iteration, facts) == Commands{Command::stop_listening, Command::wait});
  iteration.longest_deadline = Millis(500);
  CHECK(run(shutdown, iteration, facts) ==
        Commands{Command::answer_open_calls, Command::stop_listening, Command::exit});
}

}  // namespace
}  // namespace lotusyard::test
