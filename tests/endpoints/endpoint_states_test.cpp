// Hosts out by hand: one state out of list and hand, and its files.
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

core::ListedHost member(const std::string& id, HostState state, double started = 0) {
  core::ListedHost out;
  out.entry.host = id;
  out.entry.state = state;
  out.entry.started = Millis(started);
  out.address = "127.0.0.1:1";
  return out;
}

struct Seen {  // what hosts and core would believe
  std::map<std::string, core::HostEntry> hosts;
  int tellings = 0;
  EndpointStates membership{[this](const core::HostListUpdate& list, core::ListKind) {
    ++tellings;
    std::set<std::string> named;
    for (const auto& m : list.hosts) {
      hosts[m.entry.host] = m.entry;
      named.insert(m.entry.host);
    }
    for (auto& [id, entry] : hosts) {
      if (list.complete && named.count(id) == 0)
        entry.state = HostState::gone;
    }
  }};
};

TEST_CASE("a host out by hand is draining whatever the list says, till one call puts it back, cold") {
  Seen seen;
  seen.membership.apply_list({true, {member("a", HostState::ready, 5), member("b", HostState::ready)}},
                             core::ListKind::cached);
  CHECK_FALSE(seen.membership.is_known("c"));
  seen.membership.disable("a");
  const int told = seen.tellings;
  seen.membership.disable("a");
  CHECK(seen.tellings == told);  // twice is once
  CHECK(seen.hosts["a"].state == HostState::draining);
  seen.membership.apply_list({false, {member("a", HostState::ready, 900)}}, core::ListKind::delta);
  seen.membership.apply_list({true, {member("a", HostState::ready, 900)}}, core::ListKind::full);
  CHECK(seen.hosts["a"].state == HostState::draining);
  CHECK(seen.hosts["b"].state == HostState::gone);
  seen.membership.enable("a", Millis(2000));
  CHECK((seen.hosts["a"].state == HostState::ready && seen.hosts["a"].started == Millis(2000)));
  CHECK(seen.hosts["a"].enabled_by_operator);
  seen.membership.enable("a", Millis(3000));  // it was not out
  seen.membership.apply_list({false, {member("a", HostState::ready, 900)}}, core::ListKind::delta);
  CHECK(seen.hosts["a"].started == Millis(2000));  // the list does not know of its new start yet
  seen.membership.apply_list({false, {member("a", HostState::ready, 4000)}}, core::ListKind::delta);
  CHECK(seen.hosts["a"].started == Millis(4000));
}

TEST_CASE("a host that is out and has left the list stays known, and out when it comes back") {
  Seen seen;
  seen.membership.apply_list({true, {member("a", HostState::ready)}}, core::ListKind::cached);
  seen.membership.disable("a");
  seen.membership.apply_list({false, {member("a", HostState::gone)}}, core::ListKind::delta);
  for (int i = 0; i < 3000; ++i) {  // long after, thousands of others have come and gone
    const std::string id = "x" + std::to_string(i);
    seen.membership.apply_list({false, {member(id, HostState::ready)}}, core::ListKind::delta);
    seen.membership.apply_list({false, {member(id, HostState::gone)}}, core::ListKind::delta);
  }
  CHECK_FALSE(seen.membership.is_known("x0"));
  CHECK(seen.membership.is_known("x2999"));
  CHECK(seen.membership.is_known("a"));
  seen.membership.apply_list({false, {member("a", HostState::ready, 70)}}, core::ListKind::delta);
  CHECK(seen.hosts["a"].state == HostState::draining);
  seen.membership.enable("a", Millis(90));
  CHECK(seen.hosts["a"].state == HostState::ready);
}

// Random series of list events, calls at either of two processes, restarts and kills, against the plain rule:
// out is who was called out last and not back since; ready is who the list says is ready and is not out.
TEST_CASE("whatever happens in whatever order, both processes agree on who is out") {
  Random random(11);
  for (int round = 0; round < 60; ++round) {
    const Folder folder;
    std::map<std::string, core::ListedHost> listed;
    std::set<std::string> out;
    std::vector<std::unique_ptr<Seen>> process(2);
    const auto start = [&](std::unique_ptr<Seen>& one) {
      one = std::make_unique<Seen>();
      one->membership.set_disabled(*DisabledHostFiles(folder.path).read(), Millis(0));
      core::HostListUpdate all{true, {}};
      for (const auto& [id, m] : listed)
        all.hosts.push_back(m);
      one->membership.apply_list(all, core::ListKind::cached);
    };
    for (auto& one : process)
      start(one);
    for (int step = 1; step <= 120; ++step) {
      const Millis now(1000.0 * step);
      const std::string id(1, static_cast<char>('a' + below(random, 5)));
      auto& one = *process[below(random, 2)];
      DisabledHostFiles files(folder.path);
      switch (below(random, 6)) {
        case 0:
        case 1: {
          const auto state = static_cast<HostState>(below(random, 3));
          listed[id] = member(id, state, below(random, 2) == 0 ? 0 : now.count());
          for (auto& p : process)
            p->membership.apply_list({false, {listed[id]}}, core::ListKind::delta);
          break;
        }
        case 2:  // the call out, killed at times between the file and the memory
          if (!one.membership.is_known(id))
            break;
          REQUIRE(files.add(id));
          out.insert(id);
          if (below(random, 4) == 0) {
            start(process[0]);
          } else {
            one.membership.disable(id);
          }
          break;
        case 3:
          if (!one.membership.is_known(id))
            break;
          REQUIRE(files.remove(id));
          out.erase(id);
          if (below(random, 4) == 0) {
            start(process[1]);
          } else {
            one.membership.enable(id, now);
          }
          break;
        case 4:
          start(process[below(random, 2)]);
          break;  // it is replaced
        default:
          break;
      }
      for (auto& p : process)
        p->membership.set_disabled(*files.read(), now);
      for (const auto& p : process) {
        REQUIRE(p->membership.disabled() == out);
        for (const auto& [host_id, m] : listed) {
          const bool ready = m.entry.state == HostState::ready && out.count(host_id) == 0;
          REQUIRE((p->hosts[host_id].state == HostState::ready) == ready);
        }
      }
    }
  }
}

TEST_CASE("any id has a file of its own name, and no other file is taken for one") {
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

TEST_CASE("what cannot be kept is refused") {
  DisabledHostFiles nowhere("");
  CHECK_FALSE(nowhere.add("a"));
  CHECK_FALSE(nowhere.read());
  const Folder folder;
  DisabledHostFiles missing(folder.path + "/not/there");  // the folder above it is missing
  CHECK_FALSE(missing.add("a"));
  const std::string file = folder.path + "/out.file";
  REQUIRE(DisabledHostFiles(folder.path).add("file"));
  DisabledHostFiles under(file);  // a file stands where the folder should
  CHECK_FALSE(under.add("a"));
  CHECK_FALSE(under.remove("a"));
  CHECK_FALSE(under.read());
}

}  // namespace
}  // namespace lotusyard::test
