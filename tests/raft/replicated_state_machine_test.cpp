// Several state machines on one replica's log: each receives its own entries, messages and snapshots, and no
// entry is skipped.
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "raft/raft_replica.h"
#include "support/process.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

struct FakeStateMachine final : raft::ReplicatedStateMachine {
  explicit FakeStateMachine(const char* name) : name_(name) {}
  const char* name() const override { return name_; }
  void apply(std::uint64_t, const std::string& entry) override { applied.push_back(entry); }
  std::string snapshot() override { return std::to_string(applied.size()); }
  bool restore(const std::string& snapshot) override {
    restored = snapshot;
    return snapshot != "damaged";
  }
  void handle_message(const std::string& message) override { messages.push_back(message); }
  void on_store_failure(const std::string& reason) override { failure = reason; }
  std::vector<std::string> applied, messages;
  std::string restored = "never", failure;

 private:
  const char* name_;
};

struct SingleReplicaFixture {
  TemporaryFolder folder;
  net::EventLoop loop;
  metrics::Counters counters;
  raft::Config config;
  SingleReplicaFixture() {
    const net::Socket free = net::listen_on("127.0.0.1:0");
    config.cluster = "yard";
    config.member = "a";
    config.store = folder.path + "/a.db";
    config.listen = config.address = net::bound_address(free);
    config.members = {{"a", config.address, true}};
    config.election_timeout = Millis(50);
    raft::RaftReplica::bootstrap(config);
  }
  template <typename Predicate>
  bool run_until(const Predicate& done) {
    for (int i = 0; i < 2000 && !done(); ++i)
      loop.run_once(loop.now() + Millis(5), [] {});
    return done();
  }
};

TEST_CASE("state machines share one log, and each receives its own entries and messages") {
  SingleReplicaFixture fixture;
  FakeStateMachine maintenance("works"), other("other");
  raft::RaftReplica replica(fixture.loop, fixture.counters, fixture.config, {&maintenance, &other},
                            [](const auto&) {});
  REQUIRE(fixture.run_until([&] { return replica.is_leader(); }));
  REQUIRE(replica.propose(other, "{\"a\":1}"));
  REQUIRE(replica.propose(maintenance, "w"));
  REQUIRE(replica.send_to_leader(other, "word"));
  REQUIRE(fixture.run_until([&] { return maintenance.applied.size() == 1 && other.messages.size() == 1; }));
  CHECK(other.applied == std::vector<std::string>{"{\"a\":1}"});
  CHECK(other.messages == std::vector<std::string>{"word"});
  CHECK(maintenance.messages.empty());
}

TEST_CASE("an entry of an unknown state machine stops the replica, and is not skipped") {
  SingleReplicaFixture fixture;
  {
    raft::LogStore store(fixture.config.store);
    store.append({{1, RAFT_COMMAND, raft::tag_entry("later", "{}")}});
    // Without a tag, as written when there was only one state machine.
    store.append({{1, RAFT_COMMAND, "{\"t\":\"ask\"}"}});
  }
  FakeStateMachine maintenance("works"), other("other");
  raft::RaftReplica replica(fixture.loop, fixture.counters, fixture.config, {&maintenance, &other},
                            [](const auto&) {});
  REQUIRE(fixture.run_until([&] { return !maintenance.failure.empty() && !maintenance.applied.empty(); }));
  CHECK_THAT(maintenance.failure, Catch::Contains("does not know: later"));
  CHECK(other.failure == maintenance.failure);
  CHECK(maintenance.applied.front() == "{\"t\":\"ask\"}");
  CHECK(fixture.counters.value("group.unknown_entries") == 1);
}

TEST_CASE("snapshots contain every state machine's state, and an untagged one is read as maintenance's") {
  const std::map<std::string, std::string> snapshots = {{"works", "{\"index\":3}"}, {"other", "x"}};
  CHECK(raft::decode_snapshots(raft::encode_snapshots(snapshots)) == snapshots);
  const auto untagged = raft::decode_snapshots("{\"index\":7}");
  REQUIRE(untagged);
  CHECK(untagged->at("works") == "{\"index\":7}");
  CHECK_FALSE(raft::decode_snapshots("nonsense"));
  CHECK_FALSE(raft::decode_snapshots("{\"parts\":{\"a\":3}}"));
  CHECK(raft::untag_entry("no tag") == std::make_pair(std::string("works"), std::string("no tag")));
}

}  // namespace
}  // namespace lotusyard::test
