// The group's store and wire, and whole members: real processes with stand-in hosts and clients, a relay
// among them that cuts, delays and resets, and kills, stops and restarts, from fixed seeds.
#include <sys/resource.h>
#include <sys/stat.h>

#include <iostream>

#include "raft/frame.h"
#include "raft/log_store.h"
#include "raft/message_codec.h"
#include "raft/peer_transport.h"
#include "raft/replicated_state_machine.h"
#include "support/cluster.h"

namespace lotusyard::test {
namespace {

using raft::LogStore;
using raft::LogStoreError;
using raft::StoredEntry;

// The frame parser with the name that parse_cut() calls.
struct CutFrameParser {
  FrameParser parser;
  bool parse(std::string_view bytes, std::vector<Frame>& out) { return parser.parse(bytes, out); }
};

// ---- The store ----

TEST_CASE("a member's store gives back what it was given, and is held by one at a time") {
  Folder folder;
  const std::string path = folder.path + "/a.db";
  {
    LogStore store(path);
    CHECK(store.is_empty());
    store.initialize({"yard", "a", 3, 0});
    store.set_term(7);
    store.set_vote(2);
    store.append(
        {{7, RAFT_COMMAND, "one"}, {7, RAFT_COMMAND, std::string("t\0wo", 4)}, {7, RAFT_BARRIER, "b"}});
    store.truncate(3);
    CHECK(store.begin_next_incarnation() == 1);
    CHECK_THROWS_AS(LogStore(path), LogStoreError);
  }
  {
    LogStore store(path);
    CHECK(store.identity().member == "a");
    CHECK(store.begin_next_incarnation() == 2);
    CHECK((store.term() == 7 && store.vote() == 2));
    REQUIRE(store.entries().size() == 2);
    CHECK(store.entries()[1].data == std::string("t\0wo", 4));
    store.set_term(8);
    CHECK(store.vote() == 0);
    for (int i = 0; i < 20; ++i)
      store.append({{8, RAFT_COMMAND, std::string(100, 'x')}});
    store.put_snapshot({18, 8, 1, {{3, "127.0.0.1:1", RAFT_VOTER}}, "board"}, 4);
    CHECK(store.first_index() == 15);
    CHECK(store.entries().size() == 8);
  }
  LogStore store(path);
  CHECK(store.snapshot().index == 18);
  CHECK(store.snapshot().data == "board");
  CHECK(store.first_index() == 15);
  store.put_snapshot({90, 9, 1, {}, "later"}, 0);
  CHECK(store.entries().empty());
  CHECK(store.first_index() == 91);
}

TEST_CASE("what a store has promised survives a kill at any moment, whole entry by whole entry") {
  for (int round = 0; round < 12; ++round) {
    Folder folder;
    const std::string path = folder.path + "/a.db";
    const std::string told = folder.path + "/told";
    const pid_t child = fork();
    if (child == 0) {
      LogStore store(path);
      const int out = open(told.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      for (int i = 1;; ++i) {
        store.set_term(static_cast<std::uint64_t>(i));
        store.append({{static_cast<std::uint64_t>(i), RAFT_COMMAND, std::string(3000, 'e')}});
        if (write(out, "x", 1) != 1)
          _exit(1);  // told, once it is kept
      }
    }
    usleep(static_cast<useconds_t>(20000 + 7000 * round));
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    struct stat size {};
    const auto promised = stat(told.c_str(), &size) == 0 ? static_cast<std::size_t>(size.st_size) : 0;
    const LogStore store(path);
    const auto entries = store.entries();
    CHECK(entries.size() >= promised);
    CHECK(entries.size() <= promised + 1);
    for (const auto& e : entries)
      CHECK(e.data == std::string(3000, 'e'));
    CHECK(store.term() >= entries.size());
  }
}

TEST_CASE("a store that is full keeps what it held, promises nothing more, and says so") {
  Folder folder;
  const std::string path = folder.path + "/a.db";
  std::size_t kept = 0;
  const pid_t child = fork();
  if (child == 0) {
    signal(SIGXFSZ, SIG_IGN);
    LogStore store(path);
    const rlimit most{200000, 200000};
    setrlimit(RLIMIT_FSIZE, &most);
    std::size_t done = 0;
    try {
      for (;; ++done)
        store.append({{1, RAFT_COMMAND, std::string(3000, 'e')}});
    } catch (const LogStoreError&) {
    }
    _exit(static_cast<int>(std::min<std::size_t>(done, 200)));
  }
  int status = 0;
  waitpid(child, &status, 0);
  REQUIRE(WIFEXITED(status));
  kept = static_cast<std::size_t>(WEXITSTATUS(status));
  CHECK(kept > 5);
  const LogStore store(path);
  CHECK(store.entries().size() == kept);
}

TEST_CASE("a store that is damaged, or cut short, is refused or holds what it promised") {
  Random random(11);
  for (int round = 0; round < 40; ++round) {
    Folder folder;
    const std::string path = folder.path + "/a.db";
    {
      LogStore store(path);
      store.initialize({"yard", "a", 1, 0});
      for (int i = 0; i < 20; ++i)
        store.append({{1, RAFT_COMMAND, std::string(500, 'e')}});
    }
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    std::string bytes = text.str();
    if (round % 2 == 0) {
      bytes.resize(below(random, bytes.size()));
    } else {
      for (int i = 0; i < 50; ++i)
        bytes[below(random, bytes.size())] = static_cast<char>(random());
    }
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
    try {
      const LogStore store(path);
      const std::size_t entries = store.entries().size();
      CHECK(entries <= 20);
    } catch (const LogStoreError&) {  // it says so; nothing ends the process
    }
  }
}

// ---- The wire ----

TEST_CASE("frames and consensus messages come whole however they are cut, and garbage is turned away") {
  Random random(5);
  raft_entry entries[3] = {};
  std::string data[3] = {"one", std::string(70000, 'x'), "three"};
  for (int i = 0; i < 3; ++i) {
    entries[i].term = static_cast<raft_term>(i + 1);
    entries[i].type = RAFT_COMMAND;
    entries[i].buf = {data[i].data(), data[i].size()};
  }
  raft_message m{};
  m.type = RAFT_IO_APPEND_ENTRIES;
  m.append_entries = {9, 8, 7, 6, entries, 3};
  const std::string body = raft::encode_message(m);
  const std::string bytes =
      raft::encode_frame(Frame::Kind::consensus, body) + raft::encode_frame(Frame::Kind::message, "t{}");
  for (int i = 0; i < 50; ++i) {
    bool sound = false;
    const auto frames = parse_cut<CutFrameParser, Frame>(random, bytes, sound);
    REQUIRE(sound);
    REQUIRE(frames.size() == 2);
    auto read = raft::decode_message(frames[0].body);
    REQUIRE(read);
    REQUIRE(read->append_entries.n_entries == 3);
    CHECK(read->append_entries.prev_log_index == 8);
    CHECK(std::string(static_cast<const char*>(read->append_entries.entries[1].buf.base), 70000) == data[1]);
    raft::free_message(*read);
  }
  for (int i = 0; i < 3000; ++i) {
    std::string spoilt = body.substr(0, 120);
    if (i % 3 == 0)
      spoilt.resize(below(random, spoilt.size()));
    else
      spoilt[below(random, spoilt.size())] = static_cast<char>(random());
    if (auto read = raft::decode_message(spoilt))
      raft::free_message(*read);
    FrameParser parser;
    std::vector<Frame> out;
    parser.parse(garbage(random, std::string("\0\0\0\x01\x02\x03", 6)), out);
    raft::decode_hello(garbage(random, "{}:,\"abc1"));
  }
  FrameParser parser;
  std::vector<Frame> out;
  CHECK_FALSE(parser.parse(std::string("\x7f\xff\xff\xff\x02", 5), out));  // longer than any frame
}

TEST_CASE("a member of another group, version, lease or id is turned away with a reason") {
  net::EventLoop loop;
  metrics::Counters counters;
  raft::Hello mine;
  mine.cluster = "yard";
  mine.member = "a";
  mine.from = 1;
  mine.lease = 1000;
  std::vector<std::string> got, notes;
  raft::PeerTransport links(
      loop, counters, mine, [&](const raft::Hello& from, Frame&& f) { got.push_back(from.member + f.body); },
      [&](const std::string& line) { notes.push_back(line); });
  REQUIRE(links.listen("127.0.0.1:0"));
  const auto tell = [&](const std::function<void(raft::Hello&)>& change) {
    raft::Hello other = mine;
    other.member = "b";
    other.from = 2;
    change(other);
    std::vector<std::string> told;
    raft::PeerTransport peer(
        loop, counters, other, [](const raft::Hello&, Frame&&) {},
        [&](const std::string& line) { told.push_back(line); });
    peer.send(1, links.address(), Frame::Kind::message, "hello");
    const std::size_t before = got.size();
    for (int i = 0; i < 400 && told.empty() && got.size() == before; ++i)
      loop.run_once(loop.now() + Millis(5), [] {});
    return told.empty() ? std::string("let in") : told.back();
  };
  CHECK(tell([](raft::Hello&) {}) == "let in");
  CHECK_THAT(tell([](raft::Hello& h) { h.cluster = "other"; }), Catch::EndsWith("another group"));
  CHECK_THAT(tell([](raft::Hello& h) { ++h.version; }), Catch::EndsWith("another version of the protocol"));
  CHECK_THAT(tell([](raft::Hello& h) { h.lease = 2; }), Catch::Contains("another lease"));
  CHECK_THAT(tell([](raft::Hello& h) { h.from = 1; }), Catch::EndsWith("this member's own id"));
  CHECK(got == std::vector<std::string>{"bhello"});
  CHECK(counters.value("group.refused") == 4);
}

// ---- Whole members ----

TEST_CASE("members settle a work among themselves and end it, with nothing wrong and no call lost",
          "[processes]") {
  Cluster cluster(1, 3, 6);
  const std::string broken = cluster.run(0, 2);
  INFO(cluster.all_logs());
  REQUIRE(broken == "");
  for (auto& m : cluster.members)
    m->process->signal(SIGTERM);
  for (auto& m : cluster.members) {
    REQUIRE(cluster.s.until([&] { return m->process->status() >= 0; }));
    CHECK(m->process->status() == 0);
  }
}

TEST_CASE("members keep every rule of a work whoever is killed, stopped, cut off or reset", "[processes]") {
  for (const std::uint64_t seed : {11, 12}) {
    Cluster cluster(seed, seed == 12 ? 5 : 3, 6);
    const std::string broken = cluster.run(6, 2);
    INFO("seed " << seed << "\n" << cluster.all_logs());
    REQUIRE(broken == "");
  }
}

constexpr std::uint64_t kFunctionsOfAllHosts = 24;  // enough that each of 6 hosts is called for some

// Whether the group knows, by its signs of life, that this member has followed the log for a while past now.
bool is_known_to_follow(Cluster& cluster, const Cluster::Member& member) {
  const auto group = [&] {
    return nlohmann::json::parse(cluster.s.get(member.admin_endpoint, "/-/group"), nullptr, false);
  };
  const auto index = group().value("index", std::uint64_t{0});
  return cluster.until(
      [&] {
        const auto now = group();
        return now.is_object() && now["members"][member.name].value("follows", std::uint64_t{0}) >= index;
      },
      20);
}

// One is cut off from the others once hosts have been named, and its clients go on.
std::string with_one_cut_off(Cluster& cluster) {
  cluster.functions = kFunctionsOfAllHosts;
  Cluster::Member& away = *cluster.members[2];
  const auto touches = [&] {
    int out = 0;
    for (const auto& h : maintenance::parse_timeline(cluster.lines()).entries)
      out += h.what == "touch";
    return out;
  };
  double checked = 0;
  const auto touched = [&](int times) {
    return cluster.until(
        [&] {
          if (cluster.world.loop.now().count() < checked)
            return false;
          checked = cluster.world.loop.now().count() + 50;
          if (touches() >= times)
            return true;
          cluster.give_back(0);
          return false;
        },
        20);
  };
  REQUIRE(cluster.until([&] { return cluster.s.ask(away.admin_endpoint, "GET", "/-/ready") == 200; }, 20));
  REQUIRE(cluster.add("w", 1));
  REQUIRE(touched(1));
  // Danger: a host is taken only if the member has said that it knows of the naming, and that is under way
  // still.
  REQUIRE(is_known_to_follow(cluster, away));
  for (const auto& m : cluster.members) {
    m->relay->cut.insert(away.name);
    away.relay->cut.insert(m->name);
  }
  for (int more = 2; more <= 3; ++more) {  // both that it knew to be named; each stays out for a while
    REQUIRE(touched(more));
    const double until = cluster.world.loop.now().count() + 1000;
    cluster.until([&] { return cluster.world.loop.now().count() > until; }, 5);
  }
  return cluster.broken_rule(1);
}

TEST_CASE(
    "a member that is cut off leaves hosts alone that may be taken, and the checker finds one that does not",
    "[processes]") {
  Cluster sound(31, 3, 6);
  const std::string kept = with_one_cut_off(sound);
  INFO(sound.all_logs());
  REQUIRE(kept == "");
  CHECK(sound.all_logs().find("the leases have run out of c") != std::string::npos);
  Cluster broken(31, 3, 6, "lease");
  CHECK_THAT(with_one_cut_off(broken), Catch::Contains("may be touched"));
}

// By hand: whether a silent call stands at a host just then is chance. The pure group finds the same rule
// broken each time (works_test.cpp).
TEST_CASE("the checker finds members that do not wait for their last calls", "[.][works-long]") {
  std::string found;
  for (std::uint64_t seed = 21; seed < 33 && found.find("may be touched") == std::string::npos; ++seed) {
    Cluster cluster(seed, 3, 6, "drain");
    found = cluster.run(0, 2);
  }
  CHECK_THAT(found, Catch::Contains("may be touched"));
}

TEST_CASE("a member that has lost its store says so, comes in under another id, and votes again",
          "[processes]") {
  Cluster cluster(41, 3, 4);
  const auto ready = [&](Cluster::Member& m) {
    return cluster.until([&] { return cluster.s.ask(m.admin_endpoint, "GET", "/-/ready") == 200; }, 30);
  };
  REQUIRE(cluster.all_ready(30));
  const auto end = [&](Cluster::Member& m) {
    m.process->signal(SIGKILL);
    REQUIRE(cluster.s.until([&] { return m.process->status() >= 0; }));
  };
  Cluster::Member& lost = *cluster.members[2];
  end(lost);
  for (const char* part : {"", "-wal", "-shm"})
    std::remove((cluster.s.folder.path + "/c.db" + part).c_str());
  cluster.start(lost);
  const bool in = ready(lost);
  INFO(cluster.all_logs());
  REQUIRE(in);
  CHECK(lost.process->says("asks to be let in under another id"));
  CHECK(lost.process->says("is in as "));
  // With another one gone its vote is needed.
  end(*cluster.members[0]);
  cluster.members[0]->back_at = 1e18;
  std::swap(cluster.members[0], cluster.members[1]);
  REQUIRE(cluster.add("w", 1));
  cluster.start(*cluster.members[1]);
  REQUIRE(cluster.until([&] { return cluster.done(); }, 0.1) == false);
  REQUIRE(cluster.until(
      [&] {
        cluster.give_back(0);
        return cluster.done();
      },
      60));
  CHECK(cluster.broken_rule(1) == "");
}

// By hand: LOTUSYARD_SEEDS=from-to.
TEST_CASE("members keep every rule of a work over many seeds", "[.][works-long]") {
  const char* given = std::getenv("LOTUSYARD_SEEDS");
  const std::string seeds = given == nullptr ? "1-200" : given;
  const int from = std::stoi(seeds), to = std::stoi(seeds.substr(seeds.find('-') + 1));
  int kept = 0;
  for (int seed = from; seed <= to; ++seed) {
    Cluster cluster(static_cast<std::uint64_t>(seed), 3 + 2 * (seed % 3), 6);
    const std::string broken = cluster.run(4 + seed % 6, 1 + seed % 3);
    INFO("seed " << seed << "\n" << cluster.all_logs());
    if (!broken.empty())
      std::ofstream("works-seed-" + std::to_string(seed) + ".log") << broken << "\n" << cluster.all_logs();
    CHECK(broken == "");
    kept += broken.empty();
    std::cout << "seed " << seed << ' ' << (broken.empty() ? "kept" : broken) << std::endl;
  }
  std::cout << kept << " of " << to - from + 1 << " seeds kept" << std::endl;
}

}  // namespace
}  // namespace lotusyard::test
