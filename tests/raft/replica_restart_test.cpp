// One replica whose instance starts again, with a leader that is played by hand.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "raft/raft_core.h"
#include "raft/virtual_scheduler.h"
#include "support/fault_vfs.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

constexpr std::uint64_t kTerm = 1, kLeader = 2;
constexpr Millis kElection{60000};  // never in this test

struct Follower final : raft::RaftCore::Delegate {
  std::vector<std::uint64_t> indexes;
  int unavailable_times = 0, available_times = 0;
  std::string failure;

  void apply(std::uint64_t index, const std::string&) override { indexes.push_back(index); }
  std::string snapshot() override { return std::to_string(indexes.back()); }
  bool restore(const std::string&) override { return false; }
  std::vector<raft_append_entries_result> answers;
  void send(std::uint64_t, const std::string&, const raft_message& message) override {
    if (message.type == RAFT_IO_APPEND_ENTRIES_RESULT)
      answers.push_back(message.append_entries_result);
  }
  void on_store_failure(const std::string& why) override { failure = why; }
  void on_store_unavailable(sqlite::ResultKind, const std::string&) override { ++unavailable_times; }
  void on_store_available() override { ++available_times; }
};

TEST_CASE("replicas: no snapshot is taken of a state that is ahead of the instance that started again") {
  constexpr std::uint64_t kEntries = 1100, kBehind = 1050;  // both past what a snapshot is taken after
  FaultVfs vfs;
  FaultDisk& disk = vfs.make_disk("d", 1);
  VirtualScheduler scheduler;
  raft::LogStore store("d:log");
  store.initialize({"yard", "a", 1, 0});
  raft::RaftCore::bootstrap(store, {{1, "a", RAFT_VOTER}, {kLeader, "b", RAFT_VOTER}});
  std::vector<raft::StoredEntry> entries(kEntries - 1, {kTerm, RAFT_COMMAND, "entry"});
  store.append(entries);
  Follower user;
  raft::RaftCore replica(scheduler, store, user, 1, "a", kElection, 1);
  const auto run = [&](Millis span) {
    const Millis until = scheduler.now() + span;
    while (scheduler.run_next(until)) {
    }
  };
  const auto heartbeat = [&](std::uint64_t commit) {
    raft_message message{};
    message.type = RAFT_IO_APPEND_ENTRIES;
    message.append_entries = {kTerm, kEntries, kTerm, commit, nullptr, 0};
    replica.receive(kLeader, "b", std::move(message));
    run(Millis(1));
  };
  disk.rates.full = 1000;
  heartbeat(kEntries);
  run(Millis(1));
  REQUIRE(user.indexes.size() == kEntries - 1);  // the first is the group's configuration
  REQUIRE(user.unavailable_times == 1);          // its snapshot could not be stored
  CHECK_FALSE(replica.is_available());
  disk.rates.full = 0;
  run(Millis(1000));
  REQUIRE(user.available_times == 1);

  heartbeat(kBehind);
  CHECK(store.snapshot_index() == 0);
  heartbeat(kEntries);
  CHECK(store.snapshot_index() == kEntries);
  CHECK(store.snapshot().data == std::to_string(kEntries));
  CHECK(user.indexes.size() == kEntries - 1);
  CHECK(user.failure == "");
}

// The library alone answers with 3, which the leader of term 3 takes for an entry of its own at that index.
TEST_CASE("replicas: a follower does not vouch for entries that its leader never had") {
  FaultVfs vfs;
  VirtualScheduler scheduler;
  raft::LogStore store("d:log");
  store.initialize({"yard", "a", 1, 0});
  raft::RaftCore::bootstrap(store, {{1, "a", RAFT_VOTER}, {kLeader, "b", RAFT_VOTER}});
  store.set_term(2);
  store.append({{1, RAFT_COMMAND, "agreed"}, {2, RAFT_COMMAND, "of a leader that is gone"}});
  Follower user;
  raft::RaftCore replica(scheduler, store, user, 1, "a", kElection, 1);
  raft_message message{};
  message.type = RAFT_IO_APPEND_ENTRIES;
  message.append_entries = {3, 2, 1, 1, nullptr, 0};
  replica.receive(kLeader, "b", std::move(message));
  REQUIRE(user.answers.size() == 1);
  CHECK(user.answers[0].rejected == 0);
  CHECK(user.answers[0].last_log_index == 2);
}

}  // namespace
}  // namespace lotusyard::test
