// The log store on real files: restarts, kills, full disks and damaged files.
#include "raft/log_store.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <string>

#include "raft/libraft.h"
#include "support/process.h"
#include "support/random_input.h"

namespace lotusyard::test {
namespace {

using raft::LogStore;
using raft::LogStoreError;

TEST_CASE("a log store returns what was written, and is open in one process at a time") {
  TemporaryFolder folder;
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

TEST_CASE("what a log store acknowledged survives a kill at any moment, entry by entry") {
  for (int attempt = 0; attempt < 12; ++attempt) {
    TemporaryFolder folder;
    const std::string path = folder.path + "/a.db";
    const std::string acknowledged_path = folder.path + "/acknowledged";
    const pid_t child = fork();
    if (child == 0) {
      LogStore store(path);
      const int out = open(acknowledged_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      for (int i = 1;; ++i) {
        store.set_term(static_cast<std::uint64_t>(i));
        store.append({{static_cast<std::uint64_t>(i), RAFT_COMMAND, std::string(3000, 'e')}});
        if (write(out, "x", 1) != 1)
          _exit(1);  // a byte for each entry that the store has acknowledged
      }
    }
    usleep(static_cast<useconds_t>(20000 + 7000 * attempt));
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    struct stat size {};
    const auto acknowledged =
        stat(acknowledged_path.c_str(), &size) == 0 ? static_cast<std::size_t>(size.st_size) : 0;
    const LogStore store(path);
    const auto entries = store.entries();
    CHECK(entries.size() >= acknowledged);
    CHECK(entries.size() <= acknowledged + 1);
    for (const auto& entry : entries)
      CHECK(entry.data == std::string(3000, 'e'));
    CHECK(store.term() >= entries.size());
  }
}

TEST_CASE("a log store on a full disk keeps what it held, and acknowledges nothing more") {
  TemporaryFolder folder;
  const std::string path = folder.path + "/a.db";
  const pid_t child = fork();
  if (child == 0) {
    signal(SIGXFSZ, SIG_IGN);
    LogStore store(path);
    const rlimit max_file_size{200000, 200000};
    setrlimit(RLIMIT_FSIZE, &max_file_size);
    std::size_t appended = 0;
    try {
      for (;; ++appended)
        store.append({{1, RAFT_COMMAND, std::string(3000, 'e')}});
    } catch (const LogStoreError&) {
    }
    _exit(static_cast<int>(std::min<std::size_t>(appended, 200)));
  }
  int status = 0;
  waitpid(child, &status, 0);
  REQUIRE(WIFEXITED(status));
  const auto kept = static_cast<std::size_t>(WEXITSTATUS(status));
  CHECK(kept > 5);
  const LogStore store(path);
  CHECK(store.entries().size() == kept);
}

TEST_CASE("a damaged or truncated log store is rejected or holds no more than it did") {
  Random random(11);
  for (int attempt = 0; attempt < 40; ++attempt) {
    TemporaryFolder folder;
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
    if (attempt % 2 == 0) {
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
    } catch (const LogStoreError&) {  // reported; the process goes on
    }
  }
}

}  // namespace
}  // namespace lotusyard::test
