// One replica whose instance starts again, with a leader that is played by hand.
#include "fault_vfs.h"
#include "group/consensus.h"
#include "helper.h"
#include "virtual_scheduler.h"

namespace lotusyard::test {
namespace {

constexpr std::uint64_t kTerm = 1, kLeader = 2;
constexpr Millis kElection{60000};  // never in this test

struct Follower final : group::Consensus::User {
  std::vector<std::uint64_t> indexes;
  int unavailable_times = 0, available_times = 0;
  std::string failure;

  void applied(std::uint64_t index, const std::string&) override { indexes.push_back(index); }
  std::string snapshot() override { return std::to_string(indexes.back()); }
  bool restore(const std::string&) override { return false; }
  void send(std::uint64_t, const std::string&, const raft_message&) override {}
  void failed(const std::string& why) override { failure = why; }
  void unavailable(sqlite::ResultKind, const std::string&) override { ++unavailable_times; }
  void available() override { ++available_times; }
};

TEST_CASE("replicas: no snapshot is taken of a state that is ahead of the instance that started again") {
  constexpr std::uint64_t kEntries = 1100, kBehind = 1050;  // both past what a snapshot is taken after
  FaultVfs vfs;
  FaultDisk& disk = vfs.make_disk("d", 1);
  VirtualScheduler scheduler;
  group::Store store("d:log");
  store.begin({"yard", "a", 1, 0});
  group::Consensus::found(store, {{1, "a", RAFT_VOTER}, {kLeader, "b", RAFT_VOTER}});
  std::vector<group::StoredEntry> entries(kEntries - 1, {kTerm, RAFT_COMMAND, "entry"});
  store.append(entries);
  Follower user;
  group::Consensus replica(scheduler, store, user, 1, "a", kElection, 1);
  const auto run = [&](Millis span) {
    const Millis until = scheduler.now() + span;
    while (scheduler.run_next(until)) {}
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

}  // namespace
}  // namespace lotusyard::test
