// Several parts on one member's log: each gets its own entries, words and snapshots, and none is skipped.
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

struct Fake final : raft::ReplicatedStateMachine {
  explicit Fake(const char* name) : name_(name) {}
  const char* name() const override { return name_; }
  void apply(std::uint64_t, const std::string& entry) override { got.push_back(entry); }
  std::string snapshot() override { return std::to_string(got.size()); }
  bool restore(const std::string& from) override {
    restored = from;
    return from != "damaged";
  }
  void handle_message(const std::string& word) override { words.push_back(word); }
  void on_store_failure(const std::string& why) override { fault = why; }
  std::vector<std::string> got, words;
  std::string restored = "never", fault;

 private:
  const char* name_;
};

struct Alone {
  TemporaryFolder folder;
  net::EventLoop loop;
  metrics::Counters counters;
  raft::Config config;
  Alone() {
    const net::Socket free = net::listen_on("127.0.0.1:0");
    config.cluster = "yard";
    config.member = "a";
    config.store = folder.path + "/a.db";
    config.listen = config.address = net::bound_address(free);
    config.members = {{"a", config.address, true}};
    config.election_timeout = Millis(50);
    raft::RaftReplica::bootstrap(config);
  }
  template <typename Until>
  bool until(const Until& done) {
    for (int i = 0; i < 2000 && !done(); ++i)
      loop.run_once(loop.now() + Millis(5), [] {});
    return done();
  }
};

TEST_CASE("parts share one log, and each gets what is its own") {
  Alone alone;
  Fake works("works"), view("other");
  raft::RaftReplica member(alone.loop, alone.counters, alone.config, {&works, &view}, [](const auto&) {});
  REQUIRE(alone.until([&] { return member.is_leader(); }));
  REQUIRE(member.propose(view, "{\"a\":1}"));
  REQUIRE(member.propose(works, "w"));
  REQUIRE(member.send_to_leader(view, "word"));
  REQUIRE(alone.until([&] { return works.got.size() == 1 && view.words.size() == 1; }));
  CHECK(view.got == std::vector<std::string>{"{\"a\":1}"});
  CHECK(view.words == std::vector<std::string>{"word"});
  CHECK(works.words.empty());
}

TEST_CASE("an entry of a kind that a member does not know stops it, and is not skipped") {
  Alone alone;
  {
    raft::LogStore store(alone.config.store);
    store.append({{1, RAFT_COMMAND, raft::tag_entry("later", "{}")}});
    store.append({{1, RAFT_COMMAND, "{\"t\":\"ask\"}"}});  // as written before there were kinds
  }
  Fake works("works"), other("other");
  raft::RaftReplica member(alone.loop, alone.counters, alone.config, {&works, &other}, [](const auto&) {});
  REQUIRE(alone.until([&] { return !works.fault.empty() && !works.got.empty(); }));
  CHECK_THAT(works.fault, Catch::Contains("does not know: later"));
  CHECK(other.fault == works.fault);
  CHECK(works.got.front() == "{\"t\":\"ask\"}");
  CHECK(alone.counters.value("group.unknown_entries") == 1);
}

TEST_CASE("snapshots hold every part's state, and one from before there were parts is read as works") {
  const std::map<std::string, std::string> parts = {{"works", "{\"index\":3}"}, {"other", "x"}};
  CHECK(raft::decode_snapshots(raft::encode_snapshots(parts)) == parts);
  const auto old = raft::decode_snapshots("{\"index\":7}");
  REQUIRE(old);
  CHECK(old->at("works") == "{\"index\":7}");
  CHECK_FALSE(raft::decode_snapshots("nonsense"));
  CHECK_FALSE(raft::decode_snapshots("{\"parts\":{\"a\":3}}"));
  CHECK(raft::untag_entry("no mark") == std::make_pair(std::string("works"), std::string("no mark")));
}

}  // namespace
}  // namespace lotusyard::test
