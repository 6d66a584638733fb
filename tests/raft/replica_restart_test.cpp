// One replica whose instance restarts; the test sends the messages of its leader.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "raft/raft_core.h"
#include "raft/virtual_scheduler.h"
#include "support/fault_vfs.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

constexpr std::uint64_t kTerm = 1;
constexpr std::uint64_t kLeader = 2;
constexpr Millis kElectionTimeout{60000};  // longer than any test
// Both are beyond the length of a log that triggers a snapshot.
constexpr std::uint64_t kEntries = 1100;
constexpr std::uint64_t kBehind = 1050;

class Follower final : public raft::RaftCore::Delegate {
 public:
  std::vector<std::uint64_t> indexes;
  int unavailable_count = 0;
  int available_count = 0;
  std::string failure;

  void apply(std::uint64_t index, const std::string&) override { indexes.push_back(index); }
  std::string snapshot() override { return std::to_string(indexes.back()); }
  bool restore(const std::string&) override { return false; }
  std::vector<raft_append_entries_result> answers;
  void send(std::uint64_t, const std::string&, const raft_message& message) override {
    if (message.type == RAFT_IO_APPEND_ENTRIES_RESULT)
      answers.push_back(message.append_entries_result);
  }
  void on_store_failure(const std::string& reason) override { failure = reason; }
  void on_store_unavailable(sqlite::ResultKind, const std::string&) override { ++unavailable_count; }
  void on_store_available() override { ++available_count; }
};

TEST_CASE("replicas: no snapshot is taken of a state that is ahead of the restarted instance") {
  FaultVfs vfs;
  FaultDisk& disk = vfs.make_disk("d", 1);
  VirtualScheduler scheduler;
  raft::LogStore store("d:log");
  store.initialize({"yard", "a", 1, 0});
  raft::RaftCore::bootstrap(store, {{1, "a", RAFT_VOTER}, {kLeader, "b", RAFT_VOTER}});
  std::vector<raft::StoredEntry> entries(kEntries - 1, {kTerm, RAFT_COMMAND, "entry"});
  store.append(entries);
  Follower delegate;
  raft::RaftCore replica(scheduler, store, delegate, 1, "a", kElectionTimeout, 1);
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
  REQUIRE(delegate.indexes.size() == kEntries - 1);  // the first is the group's configuration
  REQUIRE(delegate.unavailable_count == 1);          // its snapshot could not be stored
  CHECK_FALSE(replica.is_available());
  disk.rates.full = 0;
  run(Millis(1000));
  REQUIRE(delegate.available_count == 1);

  heartbeat(kBehind);
  CHECK(store.snapshot_index() == 0);
  heartbeat(kEntries);
  CHECK(store.snapshot_index() == kEntries);
  CHECK(store.snapshot().data == std::to_string(kEntries));
  CHECK(delegate.indexes.size() == kEntries - 1);
  CHECK(delegate.failure == "");
}

// libraft alone answers with index 3, and the leader of term 3 would count its own entry at that index as
// replicated.
TEST_CASE("replicas: a follower does not acknowledge entries that its leader never had") {
  FaultVfs vfs;
  VirtualScheduler scheduler;
  raft::LogStore store("d:log");
  store.initialize({"yard", "a", 1, 0});
  raft::RaftCore::bootstrap(store, {{1, "a", RAFT_VOTER}, {kLeader, "b", RAFT_VOTER}});
  store.set_term(2);
  store.append({{1, RAFT_COMMAND, "agreed"}, {2, RAFT_COMMAND, "of an earlier leader"}});
  Follower delegate;
  raft::RaftCore replica(scheduler, store, delegate, 1, "a", kElectionTimeout, 1);
  raft_message message{};
  message.type = RAFT_IO_APPEND_ENTRIES;
  message.append_entries = {3, 2, 1, 1, nullptr, 0};
  replica.receive(kLeader, "b", std::move(message));
  REQUIRE(delegate.answers.size() == 1);
  CHECK(delegate.answers[0].rejected == 0);
  CHECK(delegate.answers[0].last_log_index == 2);
}

}  // namespace
}  // namespace lotusyard::test
