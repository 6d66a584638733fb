#include "raft/simulated_replicas.h"

#include <set>
#include <sstream>
#include <utility>

#include "raft/message_codec.h"

namespace lotusyard::test {
namespace {

constexpr Millis kElectionTimeout{200};
constexpr Millis kMessageDelay{3};
constexpr Millis kRestartDelay{150};

}  // namespace

void SimulatedReplica::apply(std::uint64_t index, const std::string& entry) {
  if (index <= applied_index)
    group->checker.report("applied twice: " + entry);
  applied_index = index;
  state.push_back(entry);
  group->checker.on_applied(index, entry);
}

// The index on the first line, and an entry on each further one.
std::string SimulatedReplica::snapshot() {
  std::string serialized = std::to_string(applied_index) + '\n';
  for (const auto& entry : state)
    serialized += entry + '\n';
  return serialized;
}

bool SimulatedReplica::restore(const std::string& snapshot) {
  std::istringstream lines(snapshot);
  std::string line;
  std::getline(lines, line);
  const std::uint64_t index = std::stoull(line);
  if (index < applied_index)
    group->checker.report("the state goes back");
  applied_index = index;
  state.clear();
  while (std::getline(lines, line))
    state.push_back(line);
  return true;
}

void SimulatedReplica::send(std::uint64_t to, const std::string&, const raft_message& message) {
  group->checker.on_sent(id, to, message);
  group->deliver_later(id, to, raft::encode_message(message));
}

SimulatedReplicas::SimulatedReplicas(std::uint64_t seed) : random(seed) {
  for (std::size_t i = 0; i < kReplicas; ++i)
    bootstrap(replicas[i], i + 1, seed);
  for (auto& replica : replicas)
    start(replica);
}

SimulatedReplicas::~SimulatedReplicas() {
  for (auto& replica : replicas)
    stop(replica);
}

void SimulatedReplicas::bootstrap(SimulatedReplica& replica, std::uint64_t id, std::uint64_t seed) {
  replica.group = this;
  replica.id = id;
  replica.disk = &vfs.make_disk(replica.name(), seed * kReplicas + id);
  raft::LogStore store(replica.store_path());
  store.initialize({"yard", std::to_string(id), id, 0});
  std::vector<raft::StoredServer> servers;
  for (std::uint64_t server = 1; server <= kReplicas; ++server)
    servers.push_back({server, "r" + std::to_string(server), RAFT_VOTER});
  raft::RaftCore::bootstrap(store, servers);
}

void SimulatedReplicas::start(SimulatedReplica& replica) {
  try {
    replica.store = std::make_unique<raft::LogStore>(replica.store_path());
    replica.core = std::make_unique<raft::RaftCore>(scheduler, *replica.store, replica, replica.id,
                                                    replica.name(), kElectionTimeout, random());
  } catch (const raft::LogStoreError& error) {
    if (!error.transient())
      checker.report(std::string("damaged by a transient fault: ") + error.what());
    stop(replica);
  }
}

// As a process that ends: its memory is lost.
void SimulatedReplicas::stop(SimulatedReplica& replica) {
  replica.core.reset();
  replica.store.reset();
  replica.state.clear();
  replica.applied_index = 0;
  replica.restart_at = scheduler.now() + kRestartDelay;
}

void SimulatedReplicas::crash(SimulatedReplica& replica) {
  replica.disk->crash();
  stop(replica);
  replica.disk->restart();
}

void SimulatedReplicas::propose() {
  for (auto& replica : replicas) {
    if (!replica.is_running() || !replica.core->is_leader())
      continue;
    const std::string entry = "e" + std::to_string(++proposed);
    replica.core->propose(entry, [this, entry](bool committed) {
      if (committed)
        checker.on_acknowledged(entry);
    });
  }
}

void SimulatedReplicas::run(Millis duration) {
  const Millis until = scheduler.now() + duration;
  while (checker.violation().empty() && scheduler.run_next(until)) {
    for (auto& replica : replicas)
      attend(replica);
  }
  for (auto& replica : replicas) {
    if (!replica.is_running())
      start(replica);
  }
}

void SimulatedReplicas::attend(SimulatedReplica& replica) {
  if (replica.disk->crashed())
    crash(replica);
  if (!replica.is_running() && scheduler.now() >= replica.restart_at)
    start(replica);
  if (!replica.permanent_failure.empty())
    checker.report("failed permanently: " + replica.permanent_failure);
}

void SimulatedReplicas::heal_and_check() {
  loss_percent = 0;
  for (auto& replica : replicas) {
    replica.disk->rates = FaultRates();
    replica.disk->is_full = false;
    replica.disk->ignores_syncs = false;
    replica.disk->crash_at = 0;
  }
  run(Millis(5000));
  const int proposed_before = proposed;
  propose();
  run(Millis(1000));
  if (proposed == proposed_before)
    checker.report("no leader though the disks work");
  for (const auto& replica : replicas)
    check_state(replica);
}

void SimulatedReplicas::check_state(const SimulatedReplica& replica) {
  if (!replica.is_running() || !replica.core->is_available())
    return checker.report("not available again");
  const std::set<std::string> applied(replica.state.begin(), replica.state.end());
  for (const auto& entry : checker.acknowledged()) {
    if (applied.count(entry) == 0)
      checker.report("lost " + entry + " at " + std::to_string(replica.id));
  }
}

void SimulatedReplicas::deliver_later(std::uint64_t from, std::uint64_t to, const std::string& bytes) {
  if (to == 0 || to > kReplicas || below(random, 100) < loss_percent)
    return;
  scheduler.at(scheduler.now() + kMessageDelay, [this, from, to, bytes] { deliver(from, to, bytes); });
}

void SimulatedReplicas::deliver(std::uint64_t from, std::uint64_t to, const std::string& bytes) {
  SimulatedReplica& receiver = replicas[to - 1];
  auto message = raft::decode_message(bytes);
  if (!message)
    return checker.report("a message that cannot be decoded");
  if (!receiver.is_running())
    return raft::free_message(*message);
  receiver.core->receive(from, "r" + std::to_string(from), std::move(*message));
}

}  // namespace lotusyard::test
