// A raft group on virtual time, each replica with a disk on which a test injects faults, and a checker of the
// safety rules.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "raft/log_store.h"
#include "raft/raft_core.h"
#include "raft/raft_safety_checker.h"
#include "raft/virtual_scheduler.h"
#include "support/fault_vfs.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {

class SimulatedReplicas;

// One process and its disk. Its state is the list of entries that it applied.
class SimulatedReplica final : public raft::RaftCore::Delegate {
 public:
  void apply(std::uint64_t index, const std::string& entry) override;
  std::string snapshot() override;
  bool restore(const std::string& snapshot) override;
  void send(std::uint64_t to, const std::string& address, const raft_message& message) override;
  void on_store_failure(const std::string& reason) override { permanent_failure = reason; }
  void on_store_unavailable(sqlite::ResultKind, const std::string&) override { ++unavailable_count; }
  void on_store_available() override {}

  std::string name() const { return "r" + std::to_string(id); }
  std::string store_path() const { return name() + ":log"; }
  bool is_running() const { return core != nullptr; }

  SimulatedReplicas* group = nullptr;
  std::uint64_t id = 0;
  FaultDisk* disk = nullptr;
  std::unique_ptr<raft::LogStore> store;  // none: the process is down
  std::unique_ptr<raft::RaftCore> core;
  std::vector<std::string> state;
  std::uint64_t applied_index = 0;
  int unavailable_count = 0;
  std::string permanent_failure;
  Millis restart_at{0};
};

class SimulatedReplicas {
 public:
  static constexpr std::size_t kReplicas = 3;

  explicit SimulatedReplicas(std::uint64_t seed);
  ~SimulatedReplicas();
  SimulatedReplicas(const SimulatedReplicas&) = delete;
  SimulatedReplicas& operator=(const SimulatedReplicas&) = delete;

  // Proposes one entry at each replica that leads.
  void propose();
  // Processes that crash or cannot start are restarted.
  void run(Millis duration);
  // Ends the faults of all disks and checks that all replicas are available again, with all acknowledged
  // entries.
  void heal_and_check();
  void deliver_later(std::uint64_t from, std::uint64_t to, const std::string& message);

  FaultVfs vfs;  // before the stores, which it must outlive
  VirtualScheduler scheduler;
  Random random;
  RaftSafetyChecker checker;
  std::array<SimulatedReplica, kReplicas> replicas;
  unsigned loss_percent = 0;  // of messages
  int proposed = 0;

 private:
  void bootstrap(SimulatedReplica& replica, std::uint64_t id, std::uint64_t seed);
  void start(SimulatedReplica& replica);
  void stop(SimulatedReplica& replica);
  void crash(SimulatedReplica& replica);
  void crash_or_restart(SimulatedReplica& replica);
  void check_state(const SimulatedReplica& replica);
  void deliver(std::uint64_t from, std::uint64_t to, const std::string& bytes);
};

}  // namespace lotusyard::test
