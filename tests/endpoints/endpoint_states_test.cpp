// Effective states of hosts that are on the list and may be disabled, and the files that store disabled
// hosts.
#include "endpoints/endpoint_states.h"

#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endpoints/disabled_host_files.h"
#include "support/process.h"
#include "support/random_input.h"
#include "support/test_settings.h"

namespace lotusyard::test {
namespace {

using core::HostState;
using endpoints::DisabledHostFiles;
using endpoints::EndpointStates;

core::ListedHost listed_host(const std::string& id, HostState state, double started = 0) {
  core::ListedHost host;
  host.entry.host = id;
  host.entry.state = state;
  host.entry.started = Millis(started);
  host.address = "127.0.0.1:1";
  return host;
}

// The states that the update handler was called with.
struct RecordedStates {
  std::map<std::string, core::HostEntry> hosts;
  int updates = 0;
  EndpointStates states{[this](const core::HostListUpdate& list, core::ListKind) {
    ++updates;
    std::set<std::string> listed;
    for (const auto& host : list.hosts) {
      hosts[host.entry.host] = host.entry;
      listed.insert(host.entry.host);
    }
    for (auto& [id, entry] : hosts) {
      if (list.complete && listed.count(id) == 0)
        entry.state = HostState::removed;
    }
  }};
};

TEST_CASE(
    "a disabled host is draining whatever the list says, until it is enabled and counts as just started") {
  RecordedStates recorded;
  recorded.states.apply_list(
      {true, {listed_host("a", HostState::ready, 5), listed_host("b", HostState::ready)}},
      core::ListKind::cached);
  CHECK_FALSE(recorded.states.is_known("c"));
  recorded.states.disable("a");
  const int updates = recorded.updates;
  recorded.states.disable("a");
  CHECK(recorded.updates == updates);  // it is already disabled
  CHECK(recorded.hosts["a"].state == HostState::draining);
  recorded.states.apply_list({false, {listed_host("a", HostState::ready, 900)}}, core::ListKind::delta);
  recorded.states.apply_list({true, {listed_host("a", HostState::ready, 900)}}, core::ListKind::full);
  CHECK(recorded.hosts["a"].state == HostState::draining);
  CHECK(recorded.hosts["b"].state == HostState::removed);
  recorded.states.enable("a", Millis(2000));
  CHECK((recorded.hosts["a"].state == HostState::ready && recorded.hosts["a"].started == Millis(2000)));
  CHECK(recorded.hosts["a"].enabled_by_operator);
  recorded.states.enable("a", Millis(3000));  // it is not disabled
  recorded.states.apply_list({false, {listed_host("a", HostState::ready, 900)}}, core::ListKind::delta);
  CHECK(recorded.hosts["a"].started == Millis(2000));  // the list is older than its restart
  recorded.states.apply_list({false, {listed_host("a", HostState::ready, 4000)}}, core::ListKind::delta);
  CHECK(recorded.hosts["a"].started == Millis(4000));
}

TEST_CASE("a disabled host that has left the list stays known, and is still disabled when it returns") {
  RecordedStates recorded;
  recorded.states.apply_list({true, {listed_host("a", HostState::ready)}}, core::ListKind::cached);
  recorded.states.disable("a");
  recorded.states.apply_list({false, {listed_host("a", HostState::removed)}}, core::ListKind::delta);
  for (int i = 0; i < 3000; ++i) {  // thousands of other hosts are added and removed
    const std::string id = "x" + std::to_string(i);
    recorded.states.apply_list({false, {listed_host(id, HostState::ready)}}, core::ListKind::delta);
    recorded.states.apply_list({false, {listed_host(id, HostState::removed)}}, core::ListKind::delta);
  }
  CHECK_FALSE(recorded.states.is_known("x0"));
  CHECK(recorded.states.is_known("x2999"));
  CHECK(recorded.states.is_known("a"));
  recorded.states.apply_list({false, {listed_host("a", HostState::ready, 70)}}, core::ListKind::delta);
  CHECK(recorded.hosts["a"].state == HostState::draining);
  recorded.states.enable("a", Millis(90));
  CHECK(recorded.hosts["a"].state == HostState::ready);
}

// Two processes of one invoker that share a folder, and a reference model of them: the disabled hosts are
// those that have not been enabled since they were last disabled, and a host is ready if it is ready on the
// list and not disabled.
class TwoProcesses {
 public:
  explicit TwoProcesses(Random& random) : random_(random) {
    for (auto& process : processes_)
      restart(process);
  }

  // One random event: an update of the list, an operator's call or a restart.
  void step(Millis now) {
    const std::string id(1, static_cast<char>('a' + below(random_, 5)));
    auto& process = *processes_[below(random_, 2)];
    switch (below(random_, 6)) {
      case 0:
      case 1:
        update_list(id, now);
        break;
      case 2:
        disable(process, id);
        break;
      case 3:
        enable(process, id, now);
        break;
      case 4:
        restart(processes_[below(random_, 2)]);
        break;
      default:
        break;
    }
    for (auto& each : processes_)
      each->states.set_disabled(*DisabledHostFiles(folder_.path).read(), now);
  }

  void check() {
    for (const auto& process : processes_) {
      REQUIRE(process->states.disabled_hosts() == disabled_);
      for (const auto& [id, host] : listed_) {
        const bool ready = host.entry.state == HostState::ready && disabled_.count(id) == 0;
        REQUIRE((process->hosts[id].state == HostState::ready) == ready);
      }
    }
  }

 private:
  const TemporaryFolder folder_;
  Random& random_;
  std::map<std::string, core::ListedHost> listed_;
  std::set<std::string> disabled_;
  std::vector<std::unique_ptr<RecordedStates>> processes_{2};

  void restart(std::unique_ptr<RecordedStates>& process) {
    process = std::make_unique<RecordedStates>();
    process->states.set_disabled(*DisabledHostFiles(folder_.path).read(), Millis(0));
    core::HostListUpdate all{true, {}};
    for (const auto& [id, host] : listed_)
      all.hosts.push_back(host);
    process->states.apply_list(all, core::ListKind::cached);
  }
  void update_list(const std::string& id, Millis now) {
    const auto state = static_cast<HostState>(below(random_, 3));
    listed_[id] = listed_host(id, state, below(random_, 2) == 0 ? 0 : now.count());
    for (auto& process : processes_)
      process->states.apply_list({false, {listed_[id]}}, core::ListKind::delta);
  }
  // Sometimes a process is killed after the file has changed and before the state in memory does.
  void disable(RecordedStates& process, const std::string& id) {
    if (!process.states.is_known(id))
      return;
    REQUIRE(DisabledHostFiles(folder_.path).add(id));
    disabled_.insert(id);
    if (below(random_, 4) == 0)
      restart(processes_[0]);
    else
      process.states.disable(id);
  }
  void enable(RecordedStates& process, const std::string& id, Millis now) {
    if (!process.states.is_known(id))
      return;
    REQUIRE(DisabledHostFiles(folder_.path).remove(id));
    disabled_.erase(id);
    if (below(random_, 4) == 0)
      restart(processes_[1]);
    else
      process.states.enable(id, now);
  }
};

TEST_CASE("after any sequence of events, both processes agree on the disabled hosts") {
  Random random(11);
  for (int round = 0; round < 60; ++round) {
    TwoProcesses processes(random);
    for (int step = 1; step <= 120; ++step) {
      processes.step(Millis(1000.0 * step));
      processes.check();
    }
  }
}

TEST_CASE("each id has a file name of its own, and no other file name is an id") {
  Random random(12);
  for (int i = 0; i < 2000; ++i) {
    std::string id = garbage(random, "s-0./%_Az").substr(0, 60);
    if (id.empty())
      continue;
    const std::string name = DisabledHostFiles::file_name(id);
    CHECK(name.find('/') == std::string::npos);
    CHECK((name != "." && name != ".."));
    CHECK(DisabledHostFiles::host_name(name) == id);
  }
  for (const char* other : {".", "..", "a.tmp", "%2", "%zz", "%41", ""})
    CHECK_FALSE(DisabledHostFiles::host_name(other));
  CHECK(DisabledHostFiles::file_name(std::string(300, 'a')).empty());
}

TEST_CASE("a change that cannot be stored fails") {
  DisabledHostFiles without_folder("");
  CHECK_FALSE(without_folder.add("a"));
  CHECK_FALSE(without_folder.read());
  const TemporaryFolder folder;
  DisabledHostFiles without_parent(folder.path + "/not/there");  // the folder above it is missing
  CHECK_FALSE(without_parent.add("a"));
  const std::string file = folder.path + "/out.file";
  REQUIRE(DisabledHostFiles(folder.path).add("file"));
  DisabledHostFiles file_as_folder(file);  // a file is in place of the folder
  CHECK_FALSE(file_as_folder.add("a"));
  CHECK_FALSE(file_as_folder.remove("a"));
  CHECK_FALSE(file_as_folder.read());
}

}  // namespace
}  // namespace lotusyard::test
